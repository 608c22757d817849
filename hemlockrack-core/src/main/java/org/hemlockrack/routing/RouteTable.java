package org.hemlockrack.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ServiceId;
import org.jspecify.annotations.Nullable;

/** All routes, services and bearer keys of one published version. Immutable. */
public final class RouteTable {
    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost;
    private final Map<ServiceId, ServiceSpec> mServices;
    private final Map<String, WorkspaceKeys> mWorkspacesByKey;
    private final boolean mRequiresKeys;

    private RouteTable(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<ServiceId, ServiceSpec> services,
            Map<String, WorkspaceKeys> workspacesByKey,
            boolean keysRequired) {
        mVersion = version;
        mRoutesByHost = routesByHost;
        mServices = services;
        mWorkspacesByKey = workspacesByKey;
        mRequiresKeys = keysRequired;
    }

    /**
     * Validates routes and keys and creates a table.
     *
     * @param version version of the table, positive
     * @param routes the routes
     * @param services the services
     * @param workspaces the workspaces, or null if requests need no keys
     * @return the table
     * @throws HemlockrackException with {@link ErrorKind#CONFIG_INVALID} and the first error found
     */
    public static RouteTable of(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            @Nullable List<WorkspaceKeys> workspaces) {
        Map<ServiceId, ServiceSpec> byId = new HashMap<>();
        for (ServiceSpec service : services) {
            byId.put(service.id(), service);
        }
        Map<String, List<Route>> byHost = new HashMap<>();
        Set<String> hostPaths = new HashSet<>();
        for (Route route : routes) {
            validate(route, byId);
            if (!hostPaths.add(route.host() + route.pathPrefix())) {
                throw invalidConfig(ErrorText.ROUTE_DUPLICATE, route.host(), route.pathPrefix());
            }
            byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
        byHost.values().forEach(hostRoutes -> hostRoutes.sort(longestFirst));
        return new RouteTable(version, byHost, byId, indexByKey(workspaces), workspaces != null);
    }

    private static void validate(Route route, Map<ServiceId, ServiceSpec> services) {
        if (route.timeoutMillis() <= 0) {
            throw invalidConfig(ErrorText.ROUTE_TIMEOUT, route.name());
        }
        if (route.targets().isEmpty() || route.totalWeight() <= 0) {
            throw invalidConfig(ErrorText.ROUTE_WEIGHTS, route.name());
        }
        for (WeightedService target : route.targets()) {
            if (!services.containsKey(target.service())) {
                throw invalidConfig(
                        ErrorText.ROUTE_UNKNOWN_SERVICE, route.name(), target.service());
            }
            if (target.weight() < 0) {
                throw invalidConfig(ErrorText.ROUTE_WEIGHTS, route.name());
            }
        }
    }

    private static Map<String, WorkspaceKeys> indexByKey(@Nullable List<WorkspaceKeys> workspaces) {
        Map<String, WorkspaceKeys> byKey = new HashMap<>();
        if (workspaces == null) {
            return byKey;
        }
        for (WorkspaceKeys workspace : workspaces) {
            for (String key : workspace.keys()) {
                WorkspaceKeys other = byKey.put(key, workspace);
                if (other != null && !other.workspace().equals(workspace.workspace())) {
                    throw invalidConfig(
                            ErrorText.KEY_DUPLICATE, other.workspace(), workspace.workspace());
                }
            }
        }
        return byKey;
    }

    private static HemlockrackException invalidConfig(String text, Object... args) {
        return HemlockrackException.of(ErrorKind.CONFIG_INVALID, String.format(text, args));
    }

    /** Returns the version. */
    public long version() {
        return mVersion;
    }

    /** Returns the services by id. */
    public Map<ServiceId, ServiceSpec> services() {
        return mServices;
    }

    /**
     * Returns whether requests need a bearer key, except on routes that allow anonymous requests.
     */
    public boolean requiresKeys() {
        return mRequiresKeys;
    }

    /**
     * Returns the route with the longest path prefix that matches.
     *
     * @param host value of the Host header field
     * @param path the path without the query
     * @return the route, or null if none matches
     */
    public @Nullable Route match(String host, String path) {
        for (Route route : mRoutesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return route;
            }
        }
        return null;
    }

    /**
     * Returns the workspace that a bearer key belongs to.
     *
     * @param key the bearer key
     * @return the workspace, or null if the key is unknown
     */
    public @Nullable WorkspaceKeys workspaceOf(String key) {
        return mWorkspacesByKey.get(key);
    }
}
