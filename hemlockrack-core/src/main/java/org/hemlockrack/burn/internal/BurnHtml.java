package org.hemlockrack.burn.internal;

import com.google.common.html.HtmlEscapers;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.hemlockrack.burn.BurnReport;
import org.hemlockrack.burn.BurnWindows;

/** Renders a burn report as one HTML page with inline SVG plots. */
public final class BurnHtml {
    private static final int PLOT_WIDTH = 216;
    private static final int PLOT_HEIGHT = 60;

    /** Minimum upper end of the scale, so that low rates are not drawn as high bars. */
    private static final double MIN_PLOT_RATE = 2;

    private static final String HEAD =
            """
            <!DOCTYPE html>
            <html lang="en">
            <head>
            <meta charset="utf-8">
            <title>Burn report</title>
            <style>
            body { font-family: sans-serif; margin: 2em; }
            table { border-collapse: collapse; }
            th, td { border: 1px solid #bbb; padding: 0.3em 0.6em; text-align: left; }
            td.alert { background: #fdd; }
            svg { background: #f7f7f7; }
            </style>
            </head>
            <body>
            <h1>Burn report</h1>
            """;

    private BurnHtml() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the page
     */
    public static String render(BurnReport report) {
        StringBuilder page = new StringBuilder(HEAD);
        page.append("<p>Burn rates at ").append(Instant.ofEpochMilli(report.atMillis()));
        page.append("; 1 spends the error budget exactly. Plots show each of the last ");
        page.append(BurnReport.PLOT_HOURS).append(" hours; the line marks 1.</p>\n<table>\n<tr>");
        appendCells(page, "th", List.of("workspace", "promise", "objective"));
        for (BurnWindows windows : BurnWindows.values()) {
            appendCells(page, "th", List.of(windows.label()));
        }
        appendCells(page, "th", List.of("causes", "burn rate by hour"));
        page.append("</tr>\n");
        for (BurnReport.Row row : report.rows()) {
            appendRow(page, row);
        }
        return page.append("</table>\n</body>\n</html>\n").toString();
    }

    private static void appendRow(StringBuilder page, BurnReport.Row row) {
        page.append("<tr>");
        String objective = String.format(Locale.ROOT, "%.3f", row.targetShare());
        appendCells(
                page, "td", List.of(row.workspace().value(), row.indicator().label(), objective));
        for (BurnReport.WindowBurn window : row.windows()) {
            page.append(window.isAlerting() ? "<td class=\"alert\">" : "<td>");
            page.append(
                    String.format(Locale.ROOT, "%.2f/%.2f", window.shortRate(), window.longRate()));
            page.append("</td>");
        }
        StringBuilder causes = new StringBuilder();
        for (BurnReport.CauseBurn each : row.causes()) {
            causes.append(
                    String.format(
                            Locale.ROOT, "%s %.0f%% ", each.cause().label(), 100 * each.share()));
        }
        appendCells(page, "td", List.of(causes.toString().strip()));
        page.append("<td>");
        appendPlot(page, row.hourlyRates());
        page.append("</td></tr>\n");
    }

    private static void appendPlot(StringBuilder page, List<Double> rates) {
        double top = MIN_PLOT_RATE;
        for (double rate : rates) {
            top = Math.max(top, rate);
        }
        page.append(
                String.format(
                        Locale.ROOT,
                        "<svg width=\"%d\" height=\"%d\" role=\"img\">"
                                + "<title>highest scale value %.1f</title>",
                        PLOT_WIDTH,
                        PLOT_HEIGHT,
                        top));
        double step = (double) PLOT_WIDTH / rates.size();
        for (int i = 0; i < rates.size(); i++) {
            double height = rates.get(i) / top * PLOT_HEIGHT;
            if (height > 0) {
                page.append(
                        String.format(
                                Locale.ROOT,
                                "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\""
                                        + " fill=\"%s\"/>",
                                i * step,
                                PLOT_HEIGHT - height,
                                step,
                                height,
                                rates.get(i) > 1 ? "#c33" : "#69c"));
            }
        }
        double line = PLOT_HEIGHT - PLOT_HEIGHT / top;
        page.append(
                String.format(
                        Locale.ROOT,
                        "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#333\"/></svg>",
                        PLOT_WIDTH,
                        line,
                        line));
    }

    private static void appendCells(StringBuilder page, String tag, List<String> texts) {
        for (String text : texts) {
            page.append('<').append(tag).append('>');
            page.append(escape(text));
            page.append("</").append(tag).append('>');
        }
    }

    /**
     * Escapes a text for an element or a quoted attribute.
     *
     * @param text the text
     * @return the escaped text
     */
    public static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
