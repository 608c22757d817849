package org.hemlockrack.daemon.replica;

import org.hemlockrack.consensus.CompositeState;

/** The states that share the replicated log, by the byte in front of their commands. */
public enum StateMachineId {
    CONFIG((byte) 1),
    CLAIMS((byte) 2),
    ROLLOUT((byte) 3);

    private final byte mCode;

    StateMachineId(byte code) {
        mCode = code;
    }

    /** Returns the byte; it is part of the log's format. */
    public byte code() {
        return mCode;
    }

    /**
     * Builds a command for the log.
     *
     * @param command the slice's command
     * @return the command with the byte in front
     */
    public byte[] encodeCommand(byte[] command) {
        return CompositeState.encodeCommand(mCode, command);
    }
}
