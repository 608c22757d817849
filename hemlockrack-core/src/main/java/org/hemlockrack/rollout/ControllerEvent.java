package org.hemlockrack.rollout;

import java.util.Optional;
import org.hemlockrack.model.BackendId;

/** What {@link RolloutController} reacts to. */
public sealed interface ControllerEvent {
    /** This instance leads the replicated log and its state is up to date. */
    record LeadershipGained() implements ControllerEvent {}

    /** This instance no longer leads. */
    record LeadershipLost() implements ControllerEvent {}

    /** The replicated state applied a command or was restored. */
    record StateChanged() implements ControllerEvent {}

    /**
     * A proposal ended.
     *
     * @param requestId request id of the command
     * @param result the result, empty if it is not known whether the command was applied
     */
    record ProposalEnded(String requestId, Optional<RolloutResult> result)
            implements ControllerEvent {}

    /**
     * A backend server announced itself or changed.
     *
     * @param status its status
     */
    record BackendUpdated(BackendStatus status) implements ControllerEvent {}

    /**
     * A backend server is gone.
     *
     * @param backend the server
     */
    record BackendGone(BackendId backend) implements ControllerEvent {}

    /**
     * An order was refused by the owner or the server, or could not be delivered. An order that the
     * server took is known from its next announcement.
     *
     * @param order the order
     */
    record OrderFailed(Order order) implements ControllerEvent {}
}
