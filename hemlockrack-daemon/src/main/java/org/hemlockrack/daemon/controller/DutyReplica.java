package org.hemlockrack.daemon.controller;

import org.hemlockrack.wire.DutyCommandData;

/** The replicated log as the duties use it. */
interface DutyReplica {
    /** Returns whether this process leads the log, as far as it knows. */
    boolean isLeader();

    /**
     * Proposes a command to the log, if this process leads it. Whether it was applied shows in the
     * committed state.
     *
     * @param command the command
     */
    void propose(DutyCommandData command);
}
