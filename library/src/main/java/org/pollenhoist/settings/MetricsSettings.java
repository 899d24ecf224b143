package org.pollenhoist.settings;

/**
 * Where metrics and health are served.
 *
 * @param address IP number to listen at
 * @param port TCP port to listen at
 */
public record MetricsSettings(String address, int port) {

    static MetricsSettings read(TomlTable table) {
        MetricsSettings settings = new MetricsSettings(table.address("address"), table.port("port"));
        table.rejectUnknownKeys();
        return settings;
    }
}
