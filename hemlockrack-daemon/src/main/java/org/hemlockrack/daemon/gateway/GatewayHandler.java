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
import org.hemlockrack.routing.WorkspaceKeys;
import org.jspecify.annotations.Nullable;

/** Finds the route of each request, checks its key and starts its exchange. */
final class GatewayHandler implements CallHandler {
    /** Time in which a gateway that starts together with all controllers learns the table. */
    private static final long USUAL_START_MILLIS = 2_000;

    private final long mStartNanos = System.nanoTime();
    private final GatewayContext mContext;
    private final FleetFollower mFollower;

    GatewayHandler(GatewayContext context, FleetFollower follower) {
        mContext = context;
        mFollower = follower;
    }

    @Override
    public void handle(HttpCall call, Responder responder) {
        CallerFacts caller;
        RouteTable table = mFollower.view().table();
        Route route;
        WorkspaceKeys workspace;
        try {
            caller = mContext.dialect().read(call);
        } catch (HemlockrackException e) {
            mContext.refuse(responder, e.kind(), String.valueOf(e.getMessage()));
            return;
        }
        try {
            if (table == null) {
                throw HemlockrackException.of(ErrorKind.NOT_READY, "no route table is known yet");
            }
            route = routeOf(table, call, caller);
            workspace = workspaceOf(table, route, caller);
        } catch (HemlockrackException e) {
            refuse(responder, caller, e);
            return;
        }
        new GatewayExchange(mContext, call, responder, caller, route, workspace, table.version())
                .start();
    }

    /** A table that may be superseded proves nothing against a request. */
    private void refuse(Responder responder, CallerFacts caller, HemlockrackException cause) {
        ErrorKind kind = mFollower.isFresh() ? cause.kind() : ErrorKind.NOT_READY;
        mContext.log()
                .request("refused", caller.attemptId())
                .put("kind", kind.name())
                .put("cause", cause.getMessage())
                .put("table", mFollower.view().tableVersion())
                .write();
        long expectedMillis = mFollower.view().table() == null ? startLeftMillis() : 0;
        mContext.refuse(responder, kind, String.valueOf(cause.getMessage()), expectedMillis);
    }

    /** Without a table this gateway has just started, most likely together with the controllers. */
    private long startLeftMillis() {
        long upMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        return Math.max(0, USUAL_START_MILLIS - upMillis);
    }

    private static Route routeOf(RouteTable table, HttpCall call, CallerFacts caller) {
        Route route = table.match(caller.host(), call.path());
        if (route == null) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    String.format(ErrorText.NO_ROUTE, caller.host(), call.path()));
        }
        return route;
    }

    private static @Nullable WorkspaceKeys workspaceOf(
            RouteTable table, Route route, CallerFacts caller) {
        if (!table.requiresKeys() || route.allowsAnonymous()) {
            return null;
        }
        String key = caller.bearerKey();
        WorkspaceKeys workspace = key == null ? null : table.workspaceOf(key);
        if (workspace == null) {
            throw HemlockrackException.of(ErrorKind.UNAUTHENTICATED, ErrorText.UNKNOWN_KEY);
        }
        return workspace;
    }
}
