package org.hemlockrack.burn.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.hemlockrack.burn.BurnReport;
import org.hemlockrack.burn.BurnWindows;

/** Renders a burn report as a plain text table. */
public final class BurnTable {
    private BurnTable() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return lines of text, each with a line feed
     */
    public static String render(BurnReport report) {
        List<List<String>> lines = new ArrayList<>();
        List<String> head = new ArrayList<>(List.of("workspace", "promise", "objective"));
        for (BurnWindows windows : BurnWindows.values()) {
            head.add(windows.label());
        }
        head.add("main cause");
        lines.add(head);
        for (BurnReport.Row row : report.rows()) {
            lines.add(renderRow(row));
        }
        StringBuilder text = new StringBuilder();
        text.append("burn rates at ").append(Instant.ofEpochMilli(report.atMillis()));
        text.append("; 1 spends the budget exactly, ! is above the threshold\n");
        appendAligned(lines, text);
        return text.toString();
    }

    private static List<String> renderRow(BurnReport.Row row) {
        List<String> line = new ArrayList<>();
        line.add(row.workspace().value());
        line.add(row.indicator().label());
        line.add(String.format(Locale.ROOT, "%.3f", row.targetShare()));
        for (BurnReport.WindowBurn window : row.windows()) {
            String mark = window.isAlerting() ? "!" : "";
            line.add(
                    String.format(
                            Locale.ROOT,
                            "%.2f/%.2f%s",
                            window.shortRate(),
                            window.longRate(),
                            mark));
        }
        line.add(renderMainCause(row));
        return line;
    }

    private static String renderMainCause(BurnReport.Row row) {
        if (row.causes().isEmpty()) {
            return "-";
        }
        BurnReport.CauseBurn main = row.causes().get(0);
        return String.format(Locale.ROOT, "%s %.0f%%", main.cause().label(), 100 * main.share());
    }

    private static void appendAligned(List<List<String>> lines, StringBuilder text) {
        int[] widths = new int[lines.get(0).size()];
        for (List<String> line : lines) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder row = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                row.append(line.get(i)).append(" ".repeat(widths[i] + 2 - line.get(i).length()));
            }
            text.append(row.toString().stripTrailing()).append('\n');
        }
    }
}
