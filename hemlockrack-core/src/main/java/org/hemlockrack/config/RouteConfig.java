package org.hemlockrack.config;

/**
 * A route of a plain service.
 *
 * @param method HTTP method, or {@code *} for any
 * @param prefix prefix of the path
 * @param idempotent whether calls may be executed more than once, and so retried
 */
public record RouteConfig(String method, String prefix, boolean idempotent) {
    /**
     * Returns whether the route applies to a call.
     *
     * @param callMethod HTTP method of the call
     * @param callPath path of the call
     * @return whether method and path match
     */
    public boolean matches(String callMethod, String callPath) {
        return (method.equals("*") || method.equals(callMethod)) && callPath.startsWith(prefix);
    }
}
