package org.pollenhoist.settings;

import java.time.Duration;

/**
 * Where callers are served, and the limits on what they may send.
 *
 * @param address IP number to listen at
 * @param port TCP port to listen at
 * @param maximumHeaderBytes greatest size of a request's head, in bytes
 * @param maximumBodyBytes greatest size of a request's body, in bytes
 * @param idleTimeout how long a connection may stay silent within a request or between two
 */
public record CallerSettings(
        String address, int port, int maximumHeaderBytes, int maximumBodyBytes, Duration idleTimeout) {

    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_IDLE_SECONDS = 60;
    private static final int LEAST_BYTES = 1024;
    private static final int MAXIMUM_HEADER_BYTES = 1024 * 1024;
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
    private static final int MAXIMUM_IDLE_SECONDS = 3_600;

    static CallerSettings read(TomlTable table) {
        CallerSettings settings = new CallerSettings(
                table.address("address"),
                table.port("port"),
                table.integer("maximum_header_bytes", DEFAULT_HEADER_BYTES, LEAST_BYTES, MAXIMUM_HEADER_BYTES),
                table.integer("maximum_body_bytes", DEFAULT_BODY_BYTES, LEAST_BYTES, MAXIMUM_BODY_BYTES),
                Duration.ofSeconds(
                        table.integer("idle_timeout_seconds", DEFAULT_IDLE_SECONDS, 1, MAXIMUM_IDLE_SECONDS)));
        table.rejectUnknownKeys();
        return settings;
    }
}
