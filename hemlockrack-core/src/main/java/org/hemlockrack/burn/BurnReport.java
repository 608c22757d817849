package org.hemlockrack.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.hemlockrack.burn.internal.BurnHtml;
import org.hemlockrack.burn.internal.BurnJson;
import org.hemlockrack.burn.internal.BurnSeries;
import org.hemlockrack.burn.internal.BurnTable;
import org.hemlockrack.model.WorkspaceId;

/**
 * The burn rates of all workspaces at one time.
 *
 * @param atMillis the time, milliseconds since the epoch
 * @param rows one row for each workspace and indicator, sorted by descending burn rate over the
 *     longest window
 */
public record BurnReport(long atMillis, List<Row> rows) {
    /** Number of hours in {@link Row#hourlyRates}. */
    public static final int PLOT_HOURS = 72;

    /** Copies the list. */
    public BurnReport {
        rows = List.copyOf(rows);
    }

    /**
     * The burn rates of one workspace and indicator.
     *
     * @param workspace the workspace
     * @param indicator the indicator
     * @param targetShare share of requests that must meet the objective
     * @param windows burn rates over each pair of windows
     * @param causes causes of the misses of the last three days, the most frequent first; causes
     *     without misses are omitted
     * @param hourlyRates burn rate in each clock hour, the oldest first
     */
    public record Row(
            WorkspaceId workspace,
            LatencyIndicator indicator,
            double targetShare,
            List<WindowBurn> windows,
            List<CauseBurn> causes,
            List<Double> hourlyRates) {
        /** Copies the lists. */
        public Row {
            windows = List.copyOf(windows);
            causes = List.copyOf(causes);
            hourlyRates = List.copyOf(hourlyRates);
        }

        /** Returns whether any pair of windows reaches its threshold. */
        public boolean isAlerting() {
            return windows.stream().anyMatch(WindowBurn::isAlerting);
        }

        private double longestWindowRate() {
            return windows.get(windows.size() - 1).longRate();
        }
    }

    /**
     * Burn rates over one pair of windows.
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
        public boolean isAlerting() {
            return windows.isAlerting(shortRate, longRate);
        }
    }

    /**
     * Misses by cause.
     *
     * @param cause the cause
     * @param misses requests that missed the objective because of it
     * @param share their share of all misses
     */
    public record CauseBurn(BurnCause cause, long misses, double share) {}

    /**
     * Creates a report.
     *
     * @param accounts accounts, merged from all instances that answered
     * @param targetShares share of requests of a workspace that must meet its objective
     * @param nowMillis the time of the report, milliseconds since the epoch
     * @return the report
     */
    public static BurnReport of(
            BurnAccounts accounts, ToDoubleFunction<WorkspaceId> targetShares, long nowMillis) {
        List<Row> rows = new ArrayList<>();
        for (Map.Entry<WorkspaceId, Map<LatencyIndicator, BurnSeries>> each :
                accounts.series().entrySet()) {
            double targetShare = targetShares.applyAsDouble(each.getKey());
            each.getValue()
                    .forEach(
                            (indicator, series) ->
                                    rows.add(
                                            createRow(
                                                    each.getKey(),
                                                    indicator,
                                                    targetShare,
                                                    series,
                                                    nowMillis)));
        }
        rows.sort((a, b) -> Double.compare(b.longestWindowRate(), a.longestWindowRate()));
        return new BurnReport(nowMillis, rows);
    }

    /** Returns the report as a plain table for a terminal. */
    public String toTable() {
        return BurnTable.render(this);
    }

    /** Returns the report as JSON. */
    public String toJson() {
        return BurnJson.render(this);
    }

    /** Returns the report as one HTML page that loads no other resource. */
    public String toHtml() {
        return BurnHtml.render(this);
    }

    private static Row createRow(
            WorkspaceId workspace,
            LatencyIndicator indicator,
            double targetShare,
            BurnSeries series,
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
                            shortCounts.rate(targetShare),
                            longCounts.rate(targetShare)));
        }
        List<Double> hourly = new ArrayList<>();
        for (int hour = PLOT_HOURS - 1; hour >= 0; hour--) {
            hourly.add(
                    series.hourCounts(nowMillis - TimeUnit.HOURS.toMillis(hour)).rate(targetShare));
        }
        return new Row(
                workspace, indicator, targetShare, windows, rankCauses(series, nowMillis), hourly);
    }

    private static List<CauseBurn> rankCauses(BurnSeries series, long nowMillis) {
        long windowMillis = BurnWindows.LONG.longMillis();
        long all = series.counts(nowMillis, windowMillis).bad();
        List<CauseBurn> causes = new ArrayList<>();
        for (BurnCause cause : BurnCause.values()) {
            long bad = series.misses(cause, nowMillis, windowMillis);
            if (bad > 0) {
                causes.add(new CauseBurn(cause, bad, (double) bad / all));
            }
        }
        causes.sort((a, b) -> Long.compare(b.misses(), a.misses()));
        return causes;
    }
}
