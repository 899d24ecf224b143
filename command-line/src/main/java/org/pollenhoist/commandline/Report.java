package org.pollenhoist.commandline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Rows under named columns, printed as a table or as a JSON list of objects. */
final class Report {

    private static final String GAP = "  ";

    private final List<String> columns;
    private final List<List<Object>> rows = new ArrayList<>();

    private Report(List<String> columns) {
        this.columns = columns;
    }

    static Report withColumns(String... columns) {
        return new Report(List.of(columns));
    }

    Report row(Object... values) {
        rows.add(Arrays.asList(values));
        return this;
    }

    void print(PrintWriter out, OutputFormat format) {
        switch (format) {
            case json -> out.println(json().toPrettyString());
            case table -> printTable(out);
        }
        out.flush();
    }

    ArrayNode json() {
        ArrayNode list = JsonNodeFactory.instance.arrayNode();
        for (List<Object> row : rows) {
            ObjectNode object = list.addObject();
            for (int column = 0; column < columns.size(); column++) {
                object.putPOJO(columns.get(column), jsonValue(row.get(column)));
            }
        }
        return list;
    }

    private static Object jsonValue(Object value) {
        return value instanceof Number || value instanceof Boolean ? value : text(value);
    }

    private void printTable(PrintWriter out) {
        int[] widths = new int[columns.size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = columns.get(column).length();
            for (List<Object> row : rows) {
                widths[column] = Math.max(widths[column], text(row.get(column)).length());
            }
        }
        out.println(line(columns, widths));
        rows.forEach(row -> out.println(line(row, widths)));
    }

    private static String line(List<?> values, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            String text = text(values.get(column));
            line.append(text).append(" ".repeat(widths[column] - text.length())).append(GAP);
        }
        return line.toString().stripTrailing();
    }

    private static String text(Object value) {
        return String.valueOf(value);
    }
}
