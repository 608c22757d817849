package org.hemlockrack.daemon.metrics;

import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.limits.RequestMemory;
import org.jspecify.annotations.Nullable;

/**
 * Sums what was given up or refused for want of memory, so that a crowd of clients does not fill
 * the log. Confined to one thread.
 */
public final class MemoryReport {
    /** Time between two reports. */
    public static final long PERIOD_MILLIS = 1_000;

    private final RequestMemory mMemory;
    private long mEvictions;
    private long mRefusals;

    private MemoryReport(RequestMemory memory) {
        mMemory = memory;
    }

    /**
     * What has happened since the last report.
     *
     * @param connections connections that were evicted
     * @param refusals bodies and messages whose values did not fit
     * @param headBytes memory held for heads now
     * @param bodyBytes memory held for bodies now
     * @param connectionBytes memory held for connections now
     */
    private record Totals(
            long connections,
            long refusals,
            long headBytes,
            long bodyBytes,
            long connectionBytes) {}

    /**
     * Creates a report.
     *
     * @param memory memory of the requests to all ports of the process
     * @return the report
     */
    public static MemoryReport of(RequestMemory memory) {
        return new MemoryReport(memory);
    }

    /** Writes a line if anything has happened since the last report. */
    public void writeTo(DecisionLog log) {
        Totals totals = poll();
        if (totals == null) {
            return;
        }
        log.instanceEvent("connections_evicted")
                .put("connections", totals.connections)
                .put("refusals", totals.refusals)
                .put("head_bytes", totals.headBytes)
                .put("body_bytes", totals.bodyBytes)
                .put("connection_bytes", totals.connectionBytes)
                .write();
    }

    /** Writes a line if anything has happened since the last report. */
    public void writeTo(EventLog log) {
        Totals totals = poll();
        if (totals != null) {
            log.log(LogEvent.CONNECTIONS_EVICTED, "%s", totals);
        }
    }

    /** Returns what has happened since the last call, or null if nothing has. */
    private @Nullable Totals poll() {
        long evictions = mMemory.evictions();
        long refusals = ParseMemory.ofProcess().refusals();
        if (evictions == mEvictions && refusals == mRefusals) {
            return null;
        }
        Totals totals =
                new Totals(
                        evictions - mEvictions,
                        refusals - mRefusals,
                        mMemory.heldBytes(RequestMemory.Kind.HEAD),
                        mMemory.heldBytes(RequestMemory.Kind.BODY),
                        mMemory.heldBytes(RequestMemory.Kind.CONNECTION));
        mEvictions = evictions;
        mRefusals = refusals;
        return totals;
    }
}
