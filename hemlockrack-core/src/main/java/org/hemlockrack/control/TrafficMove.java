package org.hemlockrack.control;

import org.hemlockrack.model.ServiceId;
import org.hemlockrack.wire.MoveData;

/**
 * A move of a service's traffic to one software version, as ordered by an operator.
 *
 * @param service the service
 * @param target the software version
 * @param status progress of the move
 * @param sharePerMille share of requests for the target while in progress, in parts of 1000
 * @param startMillis wall-clock time of the leader when the move started
 * @param deadlineMillis wall-clock time of the leader at which the move must have ended
 */
public record TrafficMove(
        ServiceId service,
        String target,
        MoveStatus status,
        int sharePerMille,
        long startMillis,
        long deadlineMillis) {
    /** Share of all requests, in parts of 1000. */
    public static final int ALL_PER_MILLE = 1_000;

    /** Returns this move with another share. */
    public TrafficMove withShare(int perMille) {
        return new TrafficMove(service, target, status, perMille, startMillis, deadlineMillis);
    }

    /** Returns this move with another status. */
    public TrafficMove withStatus(MoveStatus next) {
        return new TrafficMove(service, target, next, sharePerMille, startMillis, deadlineMillis);
    }

    /** Returns whether both are states of the same move. */
    boolean isSameMove(TrafficMove other) {
        return service.equals(other.service)
                && target.equals(other.target)
                && startMillis == other.startMillis;
    }

    MoveData toData() {
        return new MoveData(
                service.value(),
                target,
                status.toData(),
                sharePerMille,
                startMillis,
                deadlineMillis);
    }

    static TrafficMove of(MoveData data) {
        return new TrafficMove(
                ServiceId.of(data.getServiceName()),
                data.getTarget(),
                MoveStatus.of(data.getStatus()),
                data.getSharePerMille(),
                data.getStartMillis(),
                data.getDeadlineMillis());
    }
}
