package org.hemlockrack.rollout;

import java.util.Optional;
import org.hemlockrack.model.BackendId;

/** Input events of {@link RolloutController}. */
public sealed interface RolloutControllerEvent {
    /**
     * This instance became leader of the replicated log, and its copy of the state is up to date.
     */
    record LeadershipGained() implements RolloutControllerEvent {}

    /** This instance is no longer leader. */
    record LeadershipLost() implements RolloutControllerEvent {}

    /** The replicated state applied a command or was restored. */
    record StateChanged() implements RolloutControllerEvent {}

    /**
     * A proposed command was applied or refused, or its proposal ended without a known result.
     *
     * @param requestId request id of the command
     * @param result result of the command, empty if it is unknown whether it was applied
     */
    record ProposalEnded(String requestId, Optional<RolloutResult> result)
            implements RolloutControllerEvent {}

    /**
     * A backend server announced itself or changed.
     *
     * @param status its status
     */
    record BackendUpdated(BackendStatus status) implements RolloutControllerEvent {}

    /**
     * A backend server left the directory.
     *
     * @param backend the server
     */
    record BackendGone(BackendId backend) implements RolloutControllerEvent {}

    /**
     * An order was refused by the owner or the server, or could not be delivered. Success is not
     * reported by an event: the next announcement of the server shows it.
     *
     * @param order the order
     */
    record OrderFailed(ModelOrder order) implements RolloutControllerEvent {}
}
