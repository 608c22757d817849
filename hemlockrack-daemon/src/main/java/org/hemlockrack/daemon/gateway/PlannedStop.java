package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.hemlockrack.daemon.GracefulShutdown;
import org.hemlockrack.daemon.http.HttpCall;
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

    /** Period at which requests are refused whose bodies still arrive and which are too late. */
    private static final long REFUSAL_PERIOD_MILLIS = 50;

    private final HttpPort mPort;
    private final GatewayHandler mHandler;
    private final OpenExchanges mExchanges;
    private final DecisionLog mLog;
    private final long mStartNanos;
    private final long mDrainEndNanos;

    private PlannedStop(
            HttpPort port,
            GatewayHandler handler,
            OpenExchanges exchanges,
            DecisionLog log,
            long startNanos,
            long drainEndNanos) {
        mPort = port;
        mHandler = handler;
        mExchanges = exchanges;
        mLog = log;
        mStartNanos = startNanos;
        mDrainEndNanos = drainEndNanos;
    }

    /**
     * Begins a stop.
     *
     * @param port port of the callers
     * @param handler handles their requests
     * @param exchanges the exchanges that have not ended
     * @param log receives the phases
     * @param timeoutMillis time until the process has to be gone
     */
    static PlannedStop begin(
            HttpPort port,
            GatewayHandler handler,
            OpenExchanges exchanges,
            DecisionLog log,
            long timeoutMillis) {
        long startNanos = System.nanoTime();
        long drainEndNanos =
                startNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis - STOP_MARGIN_MILLIS);
        long lateNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(BALANCER_REMOVAL_MILLIS);
        exchanges.stopAt(lateNanos, drainEndNanos);
        return new PlannedStop(port, handler, exchanges, log, startNanos, drainEndNanos);
    }

    /** Runs the phases of the stop; returns once the connections of callers are closed. */
    void run() {
        logPhase("stopping");
        waitWhile(BALANCER_REMOVAL_MILLIS, () -> true);
        mPort.stopAccepting();
        logPhase("stop_listener_closed");
        waitWhile(ACCEPTED_GRACE_MILLIS, () -> true);
        mPort.closeIdleConnections();
        logPhase("stop_idle_closed");
        // A connection is open while a request arrives, is served, or its answer is sent.
        long drainMillis = TimeUnit.NANOSECONDS.toMillis(mDrainEndNanos - System.nanoTime());
        waitWhile(drainMillis, () -> mPort.openConnections() > 0);
        logPhase("stop_drained");
        int cut = mExchanges.endAll() + refuseIncomplete(head -> true);
        int untaken =
                mPort.finish(mDrainEndNanos + TimeUnit.MILLISECONDS.toNanos(ERROR_FLUSH_MILLIS));
        writeState(mLog.instanceEvent("stopped").put("cut", cut).put("untaken", untaken));
    }

    /**
     * Waits as long as a condition holds, for some time at most. Requests that can no longer be
     * answered whole are refused meanwhile, so that their callers go elsewhere at once.
     */
    private void waitWhile(long maxMillis, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        long leftMillis = maxMillis;
        while (leftMillis > 0 && condition.getAsBoolean()) {
            refuseIncomplete(mHandler::isTooLate);
            GracefulShutdown.sleep(Math.min(leftMillis, REFUSAL_PERIOD_MILLIS));
            leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        }
    }

    /** Refuses requests whose bodies still arrive; returns their number. */
    private int refuseIncomplete(Predicate<HttpCall> condition) {
        try {
            return mPort.refuseIncompleteRequests(condition, mHandler::refuseIncomplete);
        } catch (RuntimeException e) {
            // It must not end the stop, on which all other requests depend.
            mLog.instanceEvent("internal_fault").put("cause", e.toString()).write();
            return 0;
        }
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
