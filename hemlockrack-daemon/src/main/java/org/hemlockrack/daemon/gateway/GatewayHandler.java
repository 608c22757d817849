package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.WorkspaceKeys;
import org.jspecify.annotations.Nullable;

/** Finds the route of each request, checks its key and starts its exchange. */
final class GatewayHandler implements CallHandler {
    /** Usual time until a gateway that starts together with all controllers has a route table. */
    private static final long USUAL_START_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Shortest time between two lines about requests that are routed by an unconfirmed view. */
    private static final long UNCONFIRMED_LINE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final AtomicLong mLastUnconfirmedLineNanos =
            new AtomicLong(System.nanoTime() - UNCONFIRMED_LINE_PERIOD_NANOS);
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
        RouteTable table = mViewUpdater.view().table();
        Route route;
        WorkspaceKeys workspace;
        try {
            metadata = mContext.protocol().readRequest(call);
        } catch (HemlockrackException e) {
            mContext.refuse(responder, e.kind(), String.valueOf(e.getMessage()));
            return;
        }
        try {
            if (table == null) {
                throw HemlockrackException.of(ErrorKind.NOT_READY, "no route table is known yet");
            }
            route = findRoute(table, call, metadata);
            workspace = authenticate(table, route, metadata);
        } catch (HemlockrackException e) {
            refuse(responder, metadata, table == null ? 0 : table.version(), e);
            return;
        }
        if (!mViewUpdater.isViewConfirmed()) {
            logUnconfirmedTable(metadata, table, route);
        }
        new GatewayExchange(mContext, call, responder, metadata, route, workspace, table.version())
                .start();
    }

    /**
     * Refuses a request that the route table does not allow. Unless the table is the newest one,
     * the error is {@link ErrorKind#NOT_READY}, because a newer table may allow the request.
     */
    private void refuse(
            Responder responder,
            RequestMetadata metadata,
            long tableVersion,
            HemlockrackException cause) {
        boolean isNewest = mViewUpdater.isNewestTable(tableVersion);
        ErrorKind kind = isNewest ? cause.kind() : ErrorKind.NOT_READY;
        mContext.log()
                .requestEvent("refused", metadata.attemptId())
                .put("kind", kind.name())
                .put("cause", cause.getMessage())
                .put("table", tableVersion)
                .put("newest_table", mViewUpdater.newestReportedVersion())
                .put("confirmed_ms", confirmedMillis())
                .write();
        long expectedMillis = tableVersion == 0 ? remainingStartMillis() : 0;
        mContext.refuse(responder, kind, String.valueOf(cause.getMessage()), expectedMillis);
    }

    private void logUnconfirmedTable(RequestMetadata metadata, RouteTable table, Route route) {
        long nowNanos = System.nanoTime();
        long lastNanos = mLastUnconfirmedLineNanos.get();
        boolean isDue = nowNanos - lastNanos >= UNCONFIRMED_LINE_PERIOD_NANOS;
        if (!isDue || !mLastUnconfirmedLineNanos.compareAndSet(lastNanos, nowNanos)) {
            return;
        }
        mContext.log()
                .requestEvent("routed_unconfirmed", metadata.attemptId())
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

    private static Route findRoute(RouteTable table, HttpCall call, RequestMetadata metadata) {
        Route route = table.match(metadata.host(), call.path());
        if (route == null) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    String.format(ErrorText.NO_ROUTE, metadata.host(), call.path()));
        }
        return route;
    }

    private static @Nullable WorkspaceKeys authenticate(
            RouteTable table, Route route, RequestMetadata metadata) {
        if (!table.requiresKeys() || route.allowsAnonymous()) {
            return null;
        }
        String key = metadata.bearerKey();
        WorkspaceKeys workspace = key == null ? null : table.workspaceOf(key);
        if (workspace == null) {
            throw HemlockrackException.of(ErrorKind.UNAUTHENTICATED, ErrorText.UNKNOWN_KEY);
        }
        return workspace;
    }
}
