package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.Route;

/**
 * Requests that are compared with each other.
 *
 * @param route the route
 * @param level load level of the backend server
 */
public record CellKey(Route route, LoadLevel level) {
    @Override
    public String toString() {
        return route + " at " + level + " load";
    }
}
