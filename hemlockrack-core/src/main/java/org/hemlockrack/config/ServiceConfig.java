package org.hemlockrack.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hemlockrack.model.RequestKind;

/**
 * Configuration of one service.
 *
 * @param kind model or plain
 * @param models models of a model service
 * @param defaultVersion version for requests that name none
 * @param loadMultiple largest load of a backend server, as a multiple of the mean load
 * @param retryBudgetShare retry budget, as a share of requests
 * @param coldStartLimit most requests in flight on a cold backend server
 * @param firstRolloutShare share of traffic in the first stage of a roll-out
 * @param routes routes of a plain service; the one with the longest matching prefix applies
 */
public record ServiceConfig(
        ServiceKind kind,
        List<String> models,
        Optional<String> defaultVersion,
        double loadMultiple,
        double retryBudgetShare,
        int coldStartLimit,
        double firstRolloutShare,
        List<RouteConfig> routes) {
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    /** Copies the lists. */
    public ServiceConfig {
        models = List.copyOf(models);
        routes = List.copyOf(routes);
    }

    /**
     * Returns the kind of a call. The route with the longest matching prefix determines it; without
     * a matching route, the HTTP method does.
     *
     * @param method HTTP method of the call
     * @param path path of the call below the service
     * @return the kind
     */
    public RequestKind requestKind(String method, String path) {
        if (kind == ServiceKind.MODEL) {
            return RequestKind.CHAT;
        }
        boolean idempotent = IDEMPOTENT_METHODS.contains(method);
        int longest = -1;
        for (RouteConfig route : routes) {
            if (route.prefix().length() > longest && route.matches(method, path)) {
                longest = route.prefix().length();
                idempotent = route.idempotent();
            }
        }
        return idempotent ? RequestKind.SERVICE_READ : RequestKind.SERVICE_COMMAND;
    }
}
