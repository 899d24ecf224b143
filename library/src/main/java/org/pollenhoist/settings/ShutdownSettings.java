package org.pollenhoist.settings;

import java.time.Duration;

/**
 * The bounds of a planned stop, which nest: {@code grace > unready + drain}.
 *
 * @param unready how long the process keeps serving after it says that it is not ready
 * @param drain how long requests in flight may go on after that
 * @param grace after how long the supervisor ends the process
 */
public record ShutdownSettings(Duration unready, Duration drain, Duration grace) {

    private static final double DEFAULT_UNREADY_SECONDS = 5;
    private static final double DEFAULT_DRAIN_SECONDS = 60;
    private static final double DEFAULT_GRACE_SECONDS = 90;
    private static final double MAXIMUM_SECONDS = 3_600;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    static ShutdownSettings read(TomlTable table) {
        Duration unready = seconds(table, "unready_seconds", DEFAULT_UNREADY_SECONDS);
        Duration drain = seconds(table, "drain_seconds", DEFAULT_DRAIN_SECONDS);
        Duration grace = seconds(table, "grace_seconds", DEFAULT_GRACE_SECONDS);
        if (grace.compareTo(unready.plus(drain)) <= 0) {
            table.reject(
                    "grace_seconds",
                    text(grace),
                    "more than unready_seconds + drain_seconds = " + text(unready.plus(drain)),
                    FindingCode.INCONSISTENT);
        }
        table.rejectUnknownKeys();
        return new ShutdownSettings(unready, drain, grace);
    }

    private static Duration seconds(TomlTable table, String key, double fallback) {
        return Duration.ofMillis(Math.round(table.number(key, fallback, 0, MAXIMUM_SECONDS) * MILLISECONDS_PER_SECOND));
    }

    private static String text(Duration duration) {
        return Double.toString(duration.toMillis() / MILLISECONDS_PER_SECOND);
    }
}
