package org.pollenhoist.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the line of each key, since the parsed tree holds no places. */
final class TomlLines {

    private static final Pattern HEADER = Pattern.compile("^\\s*\\[\\s*([^\\[\\]]+?)\\s*]\\s*(#.*)?$");
    private static final Pattern ASSIGNMENT = Pattern.compile(
            "^\\s*((?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')(?:\\s*\\.\\s*(?:[A-Za-z0-9_-]+|\"[^\"]*\"))*)\\s*=");

    private final Map<String, Integer> lineByKey = new HashMap<>();

    private TomlLines() {}

    static TomlLines of(List<String> lines) {
        TomlLines found = new TomlLines();
        String table = "";
        for (int index = 0; index < lines.size(); index++) {
            Matcher header = HEADER.matcher(lines.get(index));
            if (header.matches()) {
                table = plain(header.group(1));
                found.put(table, index + 1);
                continue;
            }
            Matcher assignment = ASSIGNMENT.matcher(lines.get(index));
            if (assignment.find()) {
                String key = plain(assignment.group(1));
                found.put(table.isEmpty() ? key : table + "." + key, index + 1);
            }
        }
        return found;
    }

    private void put(String path, int line) {
        lineByKey.putIfAbsent(path, line);
        for (int dot = path.lastIndexOf('.'); dot > 0; dot = path.lastIndexOf('.', dot - 1)) {
            lineByKey.putIfAbsent(path.substring(0, dot), line);
        }
    }

    private static String plain(String path) {
        return path.replaceAll("\\s*\\.\\s*", ".").replace("\"", "").replace("'", "");
    }

    /** Returns the line of a key or of the nearest table around it, 0 where there is none. */
    int lineOf(String path) {
        String candidate = path;
        while (!candidate.isEmpty()) {
            Integer line = lineByKey.get(candidate);
            if (line != null) {
                return line;
            }
            int dot = candidate.lastIndexOf('.');
            candidate = dot < 0 ? "" : candidate.substring(0, dot);
        }
        return 0;
    }
}
