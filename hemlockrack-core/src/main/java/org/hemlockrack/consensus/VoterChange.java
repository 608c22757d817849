package org.hemlockrack.consensus;

import org.hemlockrack.model.InstanceId;

/**
 * An operator's change of the members.
 *
 * @param action what to do
 * @param instance the instance concerned
 */
public record VoterChange(Action action, InstanceId instance) {
    /** The changes. */
    public enum Action {
        /** Adds the empty replica that announced itself from the instance. */
        ADD_LEARNER,
        /** Makes the instance's caught-up learner a voter. */
        PROMOTE,
        /** Removes the instance's learner, or else its voter. */
        REMOVE
    }
}
