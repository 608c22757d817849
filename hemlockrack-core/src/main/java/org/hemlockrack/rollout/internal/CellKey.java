package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.TrafficSegment;

/**
 * Requests that are compared with each other.
 *
 * @param route the route
 * @param level load level of the backend server
 */
public record CellKey(TrafficSegment route, LoadLevel level) {
    @Override
    public String toString() {
        return route + " at " + level + " load";
    }
}
