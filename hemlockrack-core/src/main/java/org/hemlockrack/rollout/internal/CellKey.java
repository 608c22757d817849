package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.TrafficSegment;

/**
 * Traffic segment and load level of requests that are compared with each other.
 *
 * @param segment the traffic segment
 * @param level load level of the backend server
 */
public record CellKey(TrafficSegment segment, LoadLevel level) {
    @Override
    public String toString() {
        return segment + " at " + level + " load";
    }
}
