package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;

/** Finds the route of each request, checks its key and starts its exchange. */
final class GatewayHandler implements CallHandler {
    /** Usual time until a gateway that starts together with all controllers has a route table. */
    private static final long USUAL_START_MILLIS = 2_000;

    /** Usual time until controllers that have restarted elect a leader, which confirms a table. */
    private static final long USUAL_ELECTION_MILLIS = 500;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String ROUTED_UNCONFIRMED = "routed_unconfirmed";

    private final long mStartNanos = System.nanoTime();
    private final GatewayContext mContext;
    private final GatewayViewUpdater mViewUpdater;

    GatewayHandler(GatewayContext context, GatewayViewUpdater viewUpdater) {
        mContext = context;
        mViewUpdater = viewUpdater;
    }

    @Override
    public void handle(HttpCall call, Responder responder) {
        RequestMetadata metadata;
        TableStanding standing = mViewUpdater.standing();
        Routing routing;
        try {
            metadata = mContext.protocol().readRequest(call);
        } catch (HemlockrackException e) {
            mContext.refuse(responder, e.kind(), String.valueOf(e.getMessage()));
            return;
        }
        try {
            routing = Routing.ofTrusted(standing, call, metadata);
        } catch (HemlockrackException e) {
            RouteTable table = standing.table();
            refuse(responder, metadata, table == null ? 0 : table.version(), e);
            return;
        }
        RouteTable table = routing.table();
        if (!mViewUpdater.isViewConfirmed()) {
            logUnconfirmedTable(metadata, table, routing.route());
        }
        new GatewayExchange(
                        mContext,
                        call,
                        responder,
                        metadata,
                        routing.route(),
                        routing.workspace(),
                        table.version())
                .start();
    }

    /**
     * Returns whether the answer to a request whose body still arrives can no longer be whole when
     * this instance stops.
     *
     * @param head the request without its body
     */
    boolean isTooLate(HttpCall head) {
        RouteTable table = mViewUpdater.standing().table();
        if (table == null) {
            return false;
        }
        try {
            RequestMetadata metadata = mContext.protocol().readRequest(head);
            Route route = Routing.of(table, head, metadata).route();
            long nowNanos = System.nanoTime();
            return !TimeLimits.of(mContext, route, metadata, nowNanos)
                    .canCompleteBeforeStop(nowNanos);
        } catch (HemlockrackException e) {
            // It is refused for that reason once its body has arrived.
            return false;
        }
    }

    /** Refuses a request whose body still arrives, because this instance stops. */
    void refuseIncomplete(HttpCall head, Responder responder) {
        mContext.log()
                .requestEvent("refused", readAttemptId(head))
                .put("kind", ErrorKind.NOT_READY.name())
                .put("cause", ErrorText.INSTANCE_STOPS)
                .put("body", "incomplete")
                .put("stopping_ms", mContext.openExchanges().sinceStopMillis(System.nanoTime()))
                .write();
        mContext.refuse(responder, ErrorKind.NOT_READY, ErrorText.INSTANCE_STOPS);
    }

    private String readAttemptId(HttpCall head) {
        try {
            return mContext.protocol().readRequest(head).attemptId();
        } catch (HemlockrackException e) {
            return "";
        }
    }

    /** Refuses a request that the route table does not allow. */
    private void refuse(
            Responder responder,
            RequestMetadata metadata,
            long tableVersion,
            HemlockrackException cause) {
        ErrorKind kind = Routing.refusalKind(mViewUpdater.isNewestTable(tableVersion), cause);
        mContext.log()
                .requestEvent("refused", metadata.attemptId())
                .put("kind", kind.name())
                .put("cause", cause.getMessage())
                .put("table", tableVersion)
                .put("newest_table", mViewUpdater.newestReportedVersion())
                .put("confirmed_ms", confirmedMillis())
                .write();
        long expectedMillis = tableVersion == 0 ? remainingStartMillis() : 0;
        if (tableVersion > 0 && mViewUpdater.standing().hasAllNewer()) {
            // Otherwise a newer table is being fetched, which takes less than the random delay.
            expectedMillis = USUAL_ELECTION_MILLIS;
        }
        mContext.refuse(responder, kind, String.valueOf(cause.getMessage()), expectedMillis);
    }

    private void logUnconfirmedTable(RequestMetadata metadata, RouteTable table, Route route) {
        if (!mContext.log().isDue(ROUTED_UNCONFIRMED)) {
            return;
        }
        mContext.log()
                .requestEvent(ROUTED_UNCONFIRMED, metadata.attemptId())
                .put("route", route.name())
                .put("table", table.version())
                .put("newest_table", mViewUpdater.newestReportedVersion())
                .put("confirmed_ms", confirmedMillis())
                .write();
    }

    private long confirmedMillis() {
        return (long) (mViewUpdater.viewAgeSeconds() * MILLIS_PER_SECOND);
    }

    /**
     * Returns the usual remaining time until a route table arrives, or 0 if it is overdue. Without
     * a table this gateway has just started, most likely together with the controllers.
     */
    private long remainingStartMillis() {
        long upMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        return Math.max(0, USUAL_START_MILLIS - upMillis);
    }
}
