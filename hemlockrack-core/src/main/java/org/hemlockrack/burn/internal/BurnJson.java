package org.hemlockrack.burn.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.hemlockrack.burn.BurnCounts;
import org.hemlockrack.burn.BurnReport;

/** Renders a burn report as JSON. */
public final class BurnJson {
    private BurnJson() {}

    /**
     * Renders a report.
     *
     * @param report the report
     * @return a JSON object
     */
    public static String render(BurnReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("at_ms", report.atMillis());
        ArrayNode rows = root.putArray("rows");
        for (BurnReport.Row row : report.rows()) {
            addRow(rows.addObject(), row);
        }
        return root.toPrettyString();
    }

    private static void addRow(ObjectNode node, BurnReport.Row row) {
        node.put("workspace", row.workspace().value());
        node.put("promise", name(row.indicator()));
        node.put("objective", row.targetShare());
        node.put("alerts", row.isAlerting());
        ArrayNode windows = node.putArray("windows");
        for (BurnReport.WindowBurn each : row.windows()) {
            ObjectNode window = windows.addObject();
            window.put("windows", each.windows().label());
            window.put("short_rate", each.shortRate());
            window.put("long_rate", each.longRate());
            window.put("alerts", each.isAlerting());
            addCounts(window.putObject("short"), each.shortCounts());
            addCounts(window.putObject("long"), each.longCounts());
        }
        ArrayNode causes = node.putArray("causes");
        for (BurnReport.CauseBurn each : row.causes()) {
            ObjectNode cause = causes.addObject();
            cause.put("cause", name(each.cause()));
            cause.put("bad", each.misses());
            cause.put("share", each.share());
        }
        ArrayNode hourly = node.putArray("hourly_rates");
        row.hourlyRates().forEach(hourly::add);
    }

    private static void addCounts(ObjectNode node, BurnCounts counts) {
        node.put("good", counts.good());
        node.put("bad", counts.bad());
    }

    private static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
