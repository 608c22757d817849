package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.GracefulShutdown;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.log.DecisionLog;

/**
 * Ends what a gateway took in before the gateway itself ends. Each phase is logged with the time
 * since the stop began, so that a log without the last ones tells that the process was killed.
 */
final class PlannedStop {
    /**
     * Time until the load balancer stops sending new callers: it checks readiness once a second and
     * removes a gateway after the second failed check.
     */
    private static final long BALANCER_REMOVAL_MILLIS = 2_600;

    /**
     * Time between the end of new connections and the end of idle ones: a caller whose connection
     * was just accepted sends its request meanwhile.
     */
    private static final long ACCEPTED_GRACE_MILLIS = 300;

    /**
     * Part of the shutdown timeout that is reserved for the errors of requests that are still open
     * then, and for closing, so that the process exits by itself before the timeout.
     */
    private static final long STOP_MARGIN_MILLIS = 600;

    /** Part of that margin in which callers can read the errors and the ends of answers. */
    private static final long ERROR_FLUSH_MILLIS = 400;

    private final HttpPort mPort;
    private final OpenExchanges mExchanges;
    private final DecisionLog mLog;
    private final long mStartNanos;
    private final long mDrainEndNanos;

    private PlannedStop(
            HttpPort port,
            OpenExchanges exchanges,
            DecisionLog log,
            long startNanos,
            long drainEndNanos) {
        mPort = port;
        mExchanges = exchanges;
        mLog = log;
        mStartNanos = startNanos;
        mDrainEndNanos = drainEndNanos;
    }

    /**
     * Begins a stop.
     *
     * @param port port of the callers
     * @param exchanges the exchanges that have not ended
     * @param log receives the phases
     * @param timeoutMillis time until the process has to be gone
     */
    static PlannedStop begin(
            HttpPort port, OpenExchanges exchanges, DecisionLog log, long timeoutMillis) {
        long startNanos = System.nanoTime();
        long drainEndNanos =
                startNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis - STOP_MARGIN_MILLIS);
        long lateNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(BALANCER_REMOVAL_MILLIS);
        exchanges.stopAt(lateNanos, drainEndNanos);
        return new PlannedStop(port, exchanges, log, startNanos, drainEndNanos);
    }

    /** Runs the phases of the stop; returns once the connections of callers are closed. */
    void run() {
        logPhase("stopping");
        GracefulShutdown.sleep(BALANCER_REMOVAL_MILLIS);
        mPort.stopAccepting();
        logPhase("stop_listener_closed");
        GracefulShutdown.sleep(ACCEPTED_GRACE_MILLIS);
        mPort.closeIdleConnections();
        logPhase("stop_idle_closed");
        // A connection is open while a request arrives, is served, or its answer is sent.
        GracefulShutdown.awaitDrained(mPort::openConnections, mDrainEndNanos);
        logPhase("stop_drained");
        int cut = mExchanges.endAll() + mPort.refuseIncompleteRequests();
        int untaken =
                mPort.finish(mDrainEndNanos + TimeUnit.MILLISECONDS.toNanos(ERROR_FLUSH_MILLIS));
        writeState(mLog.instanceEvent("stopped").put("cut", cut).put("untaken", untaken));
    }

    private void logPhase(String event) {
        writeState(mLog.instanceEvent(event));
    }

    /** Writes a line with what is open and the time since the begin of the stop. */
    private void writeState(DecisionLog.Line line) {
        line.put("open", mExchanges.count())
                .put("connections", mPort.openConnections())
                .put("unfinished", mPort.openExchanges())
                .put("elapsed_ms", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos))
                .write();
    }
}
