package org.hemlockrack.dispatch;

import org.hemlockrack.control.TrafficMove;
import org.jspecify.annotations.Nullable;

/** Decides which software versions of a service may serve a request during a rollout. */
final class VersionGate {
    private VersionGate() {}

    /**
     * Returns whether a version is allowed.
     *
     * @param move newest traffic move of the service, or null
     * @param softwareVersion the version
     * @param draw number in [0, 1) of the request; below the share of the move it selects the
     *     target
     */
    static boolean allows(@Nullable TrafficMove move, String softwareVersion, double draw) {
        if (move == null) {
            return true;
        }
        boolean target = softwareVersion.equals(move.target());
        return switch (move.status()) {
            case COMPLETED -> target;
            case REVERTED -> !target;
            case IN_PROGRESS -> target == draw * TrafficMove.ALL_PER_MILLE < move.sharePerMille();
        };
    }
}
