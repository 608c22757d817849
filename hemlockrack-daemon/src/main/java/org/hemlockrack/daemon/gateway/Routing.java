package org.hemlockrack.daemon.gateway;

import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
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
