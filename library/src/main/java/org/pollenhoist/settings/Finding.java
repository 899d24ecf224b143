package org.pollenhoist.settings;

/**
 * One fault of a settings or configuration file.
 *
 * @param file the file's name as it was given
 * @param line the line, counted from 1; 0 where no line can be named
 * @param key the full key, such as {@code teams.crews.burst_tokens}; empty where the file itself is at fault
 * @param actual what was found
 * @param expected what is allowed
 * @param code the kind of finding
 */
public record Finding(String file, int line, String key, String actual, String expected, FindingCode code) {

    /**
     * Returns the finding as one line.
     *
     * @return for example {@code entry.toml:3: vm.name: found 'A', allowed: ... [not_allowed]}
     */
    public String message() {
        String place = line > 0 ? file + ":" + line : file;
        String subject = key.isEmpty() ? "" : key + ": ";
        return place + ": " + subject + "found " + actual + ", allowed: " + expected + " [" + code.text() + "]";
    }
}
