package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows of JSON objects as aligned columns. */
final class Table {
    private final List<String> mColumns;
    private final List<List<String>> mRows = new ArrayList<>();

    private Table(List<String> columns) {
        mColumns = columns;
    }

    static Table of(String... columns) {
        return new Table(List.of(columns));
    }

    Table addRows(JsonNode rows) {
        for (JsonNode row : rows) {
            List<String> cells = new ArrayList<>();
            for (String column : mColumns) {
                JsonNode cell = row.path(column);
                cells.add(cell.isArray() ? join(cell, ",") : cell.asText());
            }
            mRows.add(cells);
        }
        return this;
    }

    static String join(JsonNode array, String separator) {
        List<String> parts = new ArrayList<>();
        array.forEach(part -> parts.add(part.asText()));
        return String.join(separator, parts);
    }

    void print(PrintStream out) {
        int[] widths = new int[mColumns.size()];
        List<List<String>> lines = new ArrayList<>();
        lines.add(mColumns);
        lines.addAll(mRows);
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                text.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
            }
            out.println(text.toString().stripTrailing());
        }
    }
}
