package org.hemlockrack.daemon.controller;

import org.hemlockrack.consensus.Role;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.wire.DutyCommandData;

/**
 * The log of this controller's replica. Commands go to the local replica alone: a command that was
 * sent on to the next leader could come after that one's own.
 */
final class LogDutyReplica implements DutyReplica {
    private final ReplicaService mReplica;

    private LogDutyReplica(ReplicaService replica) {
        mReplica = replica;
    }

    static LogDutyReplica of(ReplicaService replica) {
        return new LogDutyReplica(replica);
    }

    @Override
    public boolean isLeader() {
        return mReplica.role() == Role.LEADER;
    }

    @Override
    public void propose(DutyCommandData command) {
        mReplica.propose(ControlCommand.changeDuty(command));
    }
}
