package org.pollenhoist.settings;

/**
 * How a VM learns of new configurations.
 *
 * @param watchersPerDomain how many VMs of each failure domain watch the platform; the others hear from them
 */
public record SpreadSettings(int watchersPerDomain) {

    private static final int DEFAULT_WATCHERS = 2;
    private static final int MAXIMUM_WATCHERS = 1_000;

    static SpreadSettings read(TomlTable table) {
        int watchers = table.integer("watchers_per_domain", DEFAULT_WATCHERS, 1, MAXIMUM_WATCHERS);
        table.rejectUnknownKeys();
        return new SpreadSettings(watchers);
    }
}
