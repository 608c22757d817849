package org.hemlockrack.daemon.gateway;

import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.dispatch.PromptHash;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.WeightedService;
import org.hemlockrack.routing.WorkspaceKeys;
import org.jspecify.annotations.Nullable;

/**
 * How a route table treats a request.
 *
 * @param table the table
 * @param route the route of the request
 * @param workspace the workspace of the caller, or null if the route is open
 */
record Routing(RouteTable table, Route route, @Nullable WorkspaceKeys workspace) {
    /**
     * Finds how the table in force treats a request, if that table may be relied on for it: a table
     * that may have been replaced serves only what each newer one would treat alike.
     *
     * @throws HemlockrackException as {@link #of}, or with {@link ErrorKind#NOT_READY} if there is
     *     no table or it may have been replaced
     */
    static Routing ofTrusted(TableStanding standing, HttpCall call, RequestMetadata metadata) {
        RouteTable table = standing.table();
        if (table == null) {
            throw HemlockrackException.of(ErrorKind.NOT_READY, "no route table is known yet");
        }
        Routing routing = of(table, call, metadata);
        boolean isAllowed =
                standing.trust(System.nanoTime())
                        .allows(standing, newer -> routing.isSameIn(newer, call, metadata));
        if (!isAllowed) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_READY, "the route table may have been replaced");
        }
        return routing;
    }

    /**
     * Finds the route of a request and checks its key.
     *
     * @throws HemlockrackException with {@link ErrorKind#NOT_FOUND} or {@link
     *     ErrorKind#UNAUTHENTICATED} if the table does not allow the request
     */
    static Routing of(RouteTable table, HttpCall call, RequestMetadata metadata) {
        Route route = table.match(metadata.host(), call.path());
        if (route == null) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    String.format(ErrorText.NO_ROUTE, metadata.host(), call.path()));
        }
        return new Routing(table, route, authenticate(table, route, metadata));
    }

    /**
     * Returns the kind of error for a request that the table does not allow. Unless the table is
     * the newest one, it is {@link ErrorKind#NOT_READY}, because a newer table may allow the
     * request.
     */
    static ErrorKind refusalKind(boolean isNewestTable, HemlockrackException cause) {
        return isNewestTable ? cause.kind() : ErrorKind.NOT_READY;
    }

    /** Returns the priority of a request; that of its workspace precedes that of its route. */
    static int rankOf(Route route, @Nullable WorkspaceKeys workspace) {
        return workspace == null || workspace.priorityRank() < 0
                ? route.priorityRank()
                : workspace.priorityRank();
    }

    /** Returns the service of a request; it is the same for equal ids of the attempt. */
    static ServiceId serviceOf(Route route, RequestMetadata metadata) {
        return route.chooseService(PromptHash.toUnitInterval(route.name() + metadata.attemptId()));
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

    /** Returns whether another table treats the request in the same way. */
    boolean isSameIn(RouteTable other, HttpCall call, RequestMetadata metadata) {
        Routing routing;
        try {
            routing = of(other, call, metadata);
        } catch (HemlockrackException e) {
            return false;
        }
        return route.equals(routing.route)
                && isSameWorkspace(routing.workspace)
                && hasSameServices(other);
    }

    private boolean isSameWorkspace(@Nullable WorkspaceKeys other) {
        if (workspace == null || other == null) {
            return workspace == other;
        }
        return workspace.workspace().equals(other.workspace())
                && workspace.priorityRank() == other.priorityRank();
    }

    private boolean hasSameServices(RouteTable other) {
        for (WeightedService target : route.targets()) {
            if (!table.services()
                    .get(target.service())
                    .equals(other.services().get(target.service()))) {
                return false;
            }
        }
        return true;
    }
}
