package org.hemlockrack.bench;

import org.hemlockrack.consensus.NodeOutputs;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** A replicated state without content that counts applied proposals. */
final class CountingStateMachine implements NodeOutputs, ReplicatedState {
    long mAppliedCount;

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        return new byte[0];
    }

    @Override
    public byte[] snapshot() {
        return new byte[0];
    }

    @Override
    public void restore(byte[] snapshot) {}

    @Override
    public void send(Packet packet) {}

    @Override
    public void proposalApplied(long ticket, long index, byte[] result) {
        mAppliedCount++;
    }

    @Override
    public void proposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader) {}

    @Override
    public void readReady(long ticket, long index) {}

    @Override
    public void readFailed(long ticket, @Nullable InstanceId leader) {}
}
