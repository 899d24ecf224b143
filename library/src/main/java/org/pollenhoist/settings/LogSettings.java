package org.pollenhoist.settings;

import java.util.List;

/**
 * What is logged.
 *
 * @param level the least level that is written: trace, debug, info, warn or error
 */
public record LogSettings(String level) {

    private static final List<String> LEVELS = List.of("trace", "debug", "info", "warn", "error");

    static LogSettings read(TomlTable table) {
        String level = table.word("level", "info", LEVELS);
        table.rejectUnknownKeys();
        return new LogSettings(level);
    }
}
