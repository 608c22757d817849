package org.hemlockrack.capacity;

/**
 * Load that a backend server reports with an answer. A missing or malformed figure is {@link
 * #UNKNOWN}.
 *
 * @param running requests that the server runs
 * @param waiting requests that wait at the server
 * @param slots requests that the server runs at most
 * @param workPercent how long work takes on the server's machine at this moment; 100 is usual, and
 *     a larger figure means a slower machine
 */
public record ReportedLoad(int running, int waiting, int slots, int workPercent) {
    /** Value of a figure that was not reported. */
    public static final int UNKNOWN = -1;

    /** A report without any figure. */
    public static final ReportedLoad NONE = new ReportedLoad(UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN);

    /** Replaces values outside their range, so that no report can break a calculation. */
    public ReportedLoad {
        running = running < 0 ? UNKNOWN : running;
        waiting = waiting < 0 ? UNKNOWN : waiting;
        slots = slots <= 0 ? UNKNOWN : slots;
        workPercent = workPercent <= 0 ? UNKNOWN : workPercent;
    }

    /** Returns whether the report states running and waiting requests. */
    public boolean hasRequests() {
        return running != UNKNOWN && waiting != UNKNOWN;
    }

    /** Returns the requests at the server, running and waiting. */
    public int requests() {
        return running + waiting;
    }

    /** Returns whether the report states the speed of the machine. */
    public boolean hasWorkPercent() {
        return workPercent != UNKNOWN;
    }
}
