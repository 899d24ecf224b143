package org.pollenhoist.settings;

import java.time.Duration;

/**
 * Where the platform's key-value service is.
 *
 * @param address IP number
 * @param port TCP port
 * @param timeout how long a call may take
 */
public record PlatformSettings(String address, int port, Duration timeout) {

    private static final int DEFAULT_TIMEOUT_MILLISECONDS = 500;
    private static final int MAXIMUM_TIMEOUT_MILLISECONDS = 60_000;

    static PlatformSettings read(TomlTable table) {
        PlatformSettings settings = new PlatformSettings(
                table.address("address"),
                table.port("port"),
                Duration.ofMillis(table.integer(
                        "timeout_milliseconds", DEFAULT_TIMEOUT_MILLISECONDS, 1, MAXIMUM_TIMEOUT_MILLISECONDS)));
        table.rejectUnknownKeys();
        return settings;
    }
}
