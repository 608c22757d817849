package org.hemlockrack.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.hemlockrack.burn.internal.BurnHtml;
import org.hemlockrack.burn.internal.BurnJson;
import org.hemlockrack.burn.internal.BurnTable;
import org.hemlockrack.burn.internal.Series;
import org.hemlockrack.model.WorkspaceId;

/**
 * The burn of all workspaces at one moment.
 *
 * @param atMillis the moment, milliseconds since the epoch
 * @param rows one row for each workspace and promise, highest burn of the long windows first
 */
public record BurnReport(long atMillis, List<Row> rows) {
    /** Hours in the plot of a row. */
    public static final int PLOT_HOURS = 72;

    /** Copies the list. */
    public BurnReport {
        rows = List.copyOf(rows);
    }

    /**
     * One workspace and promise.
     *
     * @param workspace the workspace
     * @param promise the promise
     * @param objective share of requests that must keep it
     * @param windows burn over each pair of windows
     * @param causes what burned it over three days, most first; causes without misses are left out
     * @param hourlyRates burn rate in each hour, the oldest first
     */
    public record Row(
            WorkspaceId workspace,
            LatencyIndicator promise,
            double objective,
            List<WindowBurn> windows,
            List<CauseBurn> causes,
            List<Double> hourlyRates) {
        /** Copies the lists. */
        public Row {
            windows = List.copyOf(windows);
            causes = List.copyOf(causes);
            hourlyRates = List.copyOf(hourlyRates);
        }

        /** Returns whether a pair of windows reaches its threshold. */
        public boolean alerts() {
            return windows.stream().anyMatch(WindowBurn::alerts);
        }

        private double longestRate() {
            return windows.get(windows.size() - 1).longRate();
        }
    }

    /**
     * Burn over one pair of windows.
     *
     * @param windows the pair
     * @param shortCounts counts over the short window
     * @param longCounts counts over the long window
     * @param shortRate burn rate over the short window
     * @param longRate burn rate over the long window
     */
    public record WindowBurn(
            BurnWindows windows,
            BurnCounts shortCounts,
            BurnCounts longCounts,
            double shortRate,
            double longRate) {
        /** Returns whether both rates reach the threshold of the pair. */
        public boolean alerts() {
            return windows.alerts(shortRate, longRate);
        }
    }

    /**
     * Misses by cause.
     *
     * @param cause the cause
     * @param bad requests that missed the promise because of it
     * @param share their share of all misses
     */
    public record CauseBurn(BurnCause cause, long bad, double share) {}

    /**
     * Makes a report.
     *
     * @param accounts accounts, merged from all instances that answered
     * @param objectives the objective of each workspace
     * @param nowMillis the moment, milliseconds since the epoch
     * @return the report
     */
    public static BurnReport of(
            BurnAccounts accounts, ToDoubleFunction<WorkspaceId> objectives, long nowMillis) {
        List<Row> rows = new ArrayList<>();
        for (Map.Entry<WorkspaceId, Map<LatencyIndicator, Series>> each :
                accounts.series().entrySet()) {
            double objective = objectives.applyAsDouble(each.getKey());
            each.getValue()
                    .forEach(
                            (promise, series) ->
                                    rows.add(
                                            row(
                                                    each.getKey(),
                                                    promise,
                                                    objective,
                                                    series,
                                                    nowMillis)));
        }
        rows.sort((a, b) -> Double.compare(b.longestRate(), a.longestRate()));
        return new BurnReport(nowMillis, rows);
    }

    /** Returns the report as a plain table for a terminal. */
    public String toTable() {
        return BurnTable.print(this);
    }

    /** Returns the report as JSON. */
    public String toJson() {
        return BurnJson.print(this);
    }

    /** Returns the report as one HTML page that needs no other resource. */
    public String toHtml() {
        return BurnHtml.print(this);
    }

    private static Row row(
            WorkspaceId workspace,
            LatencyIndicator promise,
            double objective,
            Series series,
            long nowMillis) {
        List<WindowBurn> windows = new ArrayList<>();
        for (BurnWindows each : BurnWindows.values()) {
            BurnCounts shortCounts = series.counts(nowMillis, each.shortMillis());
            BurnCounts longCounts = series.counts(nowMillis, each.longMillis());
            windows.add(
                    new WindowBurn(
                            each,
                            shortCounts,
                            longCounts,
                            shortCounts.rate(objective),
                            longCounts.rate(objective)));
        }
        List<Double> hourly = new ArrayList<>();
        for (int hour = PLOT_HOURS - 1; hour >= 0; hour--) {
            hourly.add(series.hour(nowMillis - TimeUnit.HOURS.toMillis(hour)).rate(objective));
        }
        return new Row(workspace, promise, objective, windows, causes(series, nowMillis), hourly);
    }

    private static List<CauseBurn> causes(Series series, long nowMillis) {
        long windowMillis = BurnWindows.LONG.longMillis();
        long all = series.counts(nowMillis, windowMillis).bad();
        List<CauseBurn> causes = new ArrayList<>();
        for (BurnCause cause : BurnCause.values()) {
            long bad = series.bad(cause, nowMillis, windowMillis);
            if (bad > 0) {
                causes.add(new CauseBurn(cause, bad, (double) bad / all));
            }
        }
        causes.sort((a, b) -> Long.compare(b.bad(), a.bad()));
        return causes;
    }
}
