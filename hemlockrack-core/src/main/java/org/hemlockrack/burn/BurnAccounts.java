package org.hemlockrack.burn;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.burn.internal.BurnCodec;
import org.hemlockrack.burn.internal.BurnSeries;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Counts of the requests of the last three days that met or missed the latency objective of their
 * workspace. For windows up to an hour the counts are kept in buckets of one minute, up to six
 * hours in buckets of ten minutes, and beyond in buckets of an hour. The counts of one workspace
 * and indicator take at most 5.5 KiB of memory, 0.7 KiB without misses. Not thread-safe.
 */
public final class BurnAccounts {
    /** Maximum size of the result of {@link #encode}. */
    public static final int MAX_ENCODED_BYTES = 8 << 20;

    /** More workspaces than the projected fleet has; any further ones share one account. */
    private static final int MAX_WORKSPACES = 2_000;

    private static final WorkspaceId SHARED_ACCOUNT = WorkspaceId.of("other");

    private final Map<WorkspaceId, Map<LatencyIndicator, BurnSeries>> mSeries = new TreeMap<>();

    private BurnAccounts() {}

    /** Returns empty accounts. */
    public static BurnAccounts create() {
        return new BurnAccounts();
    }

    /**
     * Counts a finished request for all indicators that apply to it.
     *
     * @param nowMillis milliseconds since the epoch
     * @param workspace the workspace
     * @param objective its latency objective
     * @param sample the latencies of the request
     * @param context determines the cause of a miss
     */
    public void count(
            long nowMillis,
            WorkspaceId workspace,
            LatencyObjective objective,
            LatencySample sample,
            MissContext context) {
        for (LatencyIndicator indicator : LatencyIndicator.values()) {
            if (sample.isSubjectTo(indicator)) {
                boolean met = sample.meets(indicator, objective);
                count(nowMillis, workspace, indicator, met ? null : BurnCause.of(context));
            }
        }
    }

    /**
     * Counts a request for one indicator.
     *
     * @param nowMillis milliseconds since the epoch
     * @param workspace the workspace
     * @param indicator the indicator
     * @param cause why the request missed the objective; null if it met it
     */
    public void count(
            long nowMillis,
            WorkspaceId workspace,
            LatencyIndicator indicator,
            @Nullable BurnCause cause) {
        boolean hasOwnAccount = mSeries.size() < MAX_WORKSPACES || mSeries.containsKey(workspace);
        series(hasOwnAccount ? workspace : SHARED_ACCOUNT, indicator).add(nowMillis, cause);
    }

    /**
     * Adds the counts of another instance. The result does not depend on the order of merges.
     *
     * @param other the accounts to add; not modified
     */
    public void merge(BurnAccounts other) {
        other.mSeries.forEach(
                (workspace, seriesByIndicator) ->
                        seriesByIndicator.forEach(
                                (indicator, series) -> series(workspace, indicator).merge(series)));
    }

    /** Returns the counts by workspace and indicator. */
    public Map<WorkspaceId, Map<LatencyIndicator, BurnSeries>> series() {
        return Collections.unmodifiableMap(mSeries);
    }

    /**
     * Returns the counts over a window.
     *
     * @param workspace the workspace
     * @param indicator the indicator
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window, at most three days
     * @return the counts, which cover up to one bucket width more than the window
     */
    public BurnCounts counts(
            WorkspaceId workspace, LatencyIndicator indicator, long nowMillis, long windowMillis) {
        BurnSeries series = mSeries.getOrDefault(workspace, Map.of()).get(indicator);
        return series == null ? new BurnCounts(0, 0) : series.counts(nowMillis, windowMillis);
    }

    /**
     * Encodes the accounts. If they exceed {@link #MAX_ENCODED_BYTES}, the workspaces that come
     * last in alphabetical order are omitted.
     *
     * @return the bytes, with a checksum
     */
    public byte[] encode() {
        return BurnCodec.encode(mSeries, MAX_ENCODED_BYTES);
    }

    /**
     * Decodes accounts.
     *
     * @param bytes bytes from {@link #encode}
     * @return the accounts
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if
     *     they are damaged
     */
    public static BurnAccounts decode(byte[] bytes) {
        BurnAccounts accounts = create();
        BurnCodec.decode(
                bytes,
                MAX_ENCODED_BYTES,
                (workspace, indicator, series) ->
                        accounts.series(workspace, indicator).merge(series));
        return accounts;
    }

    private BurnSeries series(WorkspaceId workspace, LatencyIndicator indicator) {
        return mSeries.computeIfAbsent(workspace, id -> new TreeMap<>())
                .computeIfAbsent(indicator, any -> BurnSeries.create());
    }
}
