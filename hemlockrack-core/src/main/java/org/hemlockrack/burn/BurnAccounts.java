package org.hemlockrack.burn;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.burn.internal.BurnCodec;
import org.hemlockrack.burn.internal.Series;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Requests that kept or missed the promises of each workspace, over the last three days. Buckets
 * are one minute wide up to an hour, ten minutes up to six hours and an hour beyond. A series takes
 * at most 5.5 KiB of memory, 0.7 KiB without misses. Not thread-safe.
 */
public final class BurnAccounts {
    /** Largest result of {@link #encode}. */
    public static final int MAX_ENCODED_BYTES = 8 << 20;

    /** Above the workspaces of the projected size; requests of further ones share one account. */
    private static final int MAX_WORKSPACES = 2_000;

    private static final WorkspaceId OTHER = WorkspaceId.of("other");

    private final Map<WorkspaceId, Map<LatencyIndicator, Series>> mSeries = new TreeMap<>();

    private BurnAccounts() {}

    /** Returns accounts without requests. */
    public static BurnAccounts create() {
        return new BurnAccounts();
    }

    /**
     * Counts a finished request for all promises that apply to it.
     *
     * @param nowMillis milliseconds since the epoch
     * @param workspace the workspace
     * @param limits its latency objective
     * @param sample the times of the request
     * @param facts what made it miss, if it missed a promise
     */
    public void count(
            long nowMillis,
            WorkspaceId workspace,
            LatencyObjective limits,
            LatencySample sample,
            MissContext facts) {
        for (LatencyIndicator promise : LatencyIndicator.values()) {
            if (sample.counts(promise)) {
                boolean kept = sample.kept(promise, limits);
                count(nowMillis, workspace, promise, kept ? null : BurnCause.of(facts));
            }
        }
    }

    /**
     * Counts a request for one promise.
     *
     * @param nowMillis milliseconds since the epoch
     * @param workspace the workspace
     * @param promise the promise
     * @param cause what made it miss the promise; null if it kept it
     */
    public void count(
            long nowMillis,
            WorkspaceId workspace,
            LatencyIndicator promise,
            @Nullable BurnCause cause) {
        boolean room = mSeries.size() < MAX_WORKSPACES || mSeries.containsKey(workspace);
        series(room ? workspace : OTHER, promise).add(nowMillis, cause);
    }

    /**
     * Adds the accounts of another instance. The result does not depend on the order of merges.
     *
     * @param other the other ones; they do not change
     */
    public void merge(BurnAccounts other) {
        other.mSeries.forEach(
                (workspace, promises) ->
                        promises.forEach(
                                (promise, series) -> series(workspace, promise).merge(series)));
    }

    /** Returns the series by workspace and promise. */
    public Map<WorkspaceId, Map<LatencyIndicator, Series>> series() {
        return Collections.unmodifiableMap(mSeries);
    }

    /**
     * Returns the counts over a window.
     *
     * @param workspace the workspace
     * @param promise the promise
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window, at most three days
     * @return the counts; they cover up to one bucket width more than the window
     */
    public BurnCounts counts(
            WorkspaceId workspace, LatencyIndicator promise, long nowMillis, long windowMillis) {
        Series series = mSeries.getOrDefault(workspace, Map.of()).get(promise);
        return series == null ? new BurnCounts(0, 0) : series.counts(nowMillis, windowMillis);
    }

    /**
     * Encodes the accounts. Workspaces that do not fit into {@link #MAX_ENCODED_BYTES} are left out
     * from the end of the alphabet.
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
                (workspace, promise, series) -> accounts.series(workspace, promise).merge(series));
        return accounts;
    }

    private Series series(WorkspaceId workspace, LatencyIndicator promise) {
        return mSeries.computeIfAbsent(workspace, id -> new TreeMap<>())
                .computeIfAbsent(promise, any -> Series.create());
    }
}
