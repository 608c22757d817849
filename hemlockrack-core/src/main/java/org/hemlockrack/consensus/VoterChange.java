package org.hemlockrack.consensus;

import org.hemlockrack.model.InstanceId;

/**
 * A requested change of the members, one member at a time.
 *
 * @param action what to do
 * @param instance the instance concerned
 */
public record VoterChange(Action action, InstanceId instance) {
    /** Kinds of change. */
    public enum Action {
        /** Adds the instance's announced replica without data as a learner. */
        ADD_LEARNER,
        /** Makes the instance's learner a voter; refused until it has caught up. */
        PROMOTE,
        /** Removes the instance's learner or, if it has none, its voter. */
        REMOVE
    }
}
