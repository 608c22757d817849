package org.hemlockrack.daemon.replica;

import org.hemlockrack.consensus.CompositeState;

/**
 * Identifies a state machine of the replicated log. The first byte of each command is the id of the
 * state machine that applies it.
 */
public enum StateMachineId {
    CONFIG((byte) 1),
    CLAIMS((byte) 2),
    ROLLOUT((byte) 3);

    private final byte mCode;

    StateMachineId(byte code) {
        mCode = code;
    }

    /** Returns the id; it is part of the format of the log and of snapshots. */
    public byte code() {
        return mCode;
    }

    /**
     * Builds a command for the log.
     *
     * @param command encoded command of the state machine
     * @return the command, preceded by the id
     */
    public byte[] encodeCommand(byte[] command) {
        return CompositeState.encodeCommand(mCode, command);
    }
}
