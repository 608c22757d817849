package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.model.InstanceId;

/**
 * Bootstraps a replica without data: it announces itself to the bootstrap voters until a leader
 * adds it or, on the first bootstrap voter, until all of them report that they are empty.
 *
 * <p>Only the first bootstrap voter forms a cluster, whose id is its replica id. A replica accepts
 * packets of one cluster only. So if the first voter loses its data folder and forms a second
 * cluster, the two cannot both commit: each needs a majority that comes from the same other
 * replicas.
 */
final class ClusterBootstrap {
    private final RaftState mState;
    private final Map<InstanceId, Long> mEmptyReplicas = new HashMap<>();
    private long mAnnouncementDueNanos;

    ClusterBootstrap(RaftState state) {
        mState = state;
        mAnnouncementDueNanos = state.mNowNanos;
    }

    long nextTimerNanos() {
        return mAnnouncementDueNanos;
    }

    /** Announces this replica if due. Returns whether a cluster was formed. */
    boolean onTimer() {
        if (mState.mNowNanos < mAnnouncementDueNanos) {
            return false;
        }
        mAnnouncementDueNanos = mState.mNowNanos + mState.mSettings.electionTimeoutNanos();
        announce();
        return formIfAllEmpty();
    }

    /**
     * Announces this replica to the bootstrap voters. A learner without contact to a leader does so
     * too, because the entry that added it may have been lost with its leader.
     */
    void announce() {
        for (InstanceId instance : mState.mSettings.bootstrapVoters()) {
            if (!instance.equals(mState.mSelf.instance())) {
                mState.send(ReplicaRef.of(instance, ReplicaRef.ANY), new Message.Hello(0));
            }
        }
    }

    /** Handles the answer to an announcement. Returns whether the cluster was formed. */
    boolean onReply(Packet packet, Message.HelloReply reply) {
        boolean isVoter = mState.membership().isVoter(mState.selfId());
        if (reply.nonce() != 0 && !isVoter) {
            mState.send(packet.from(), new Message.Hello(reply.nonce()));
        }
        if (!mState.isLogEmpty()) {
            return false;
        }
        if (!reply.empty()) {
            mEmptyReplicas.remove(packet.from().instance());
            return false;
        }
        if (!mState.mSettings.bootstrapVoters().contains(packet.from().instance())) {
            return false;
        }
        mEmptyReplicas.put(packet.from().instance(), packet.from().replicaId());
        return formIfAllEmpty();
    }

    private boolean formIfAllEmpty() {
        List<InstanceId> bootstrapVoters = mState.mSettings.bootstrapVoters();
        if (bootstrapVoters.isEmpty() || !bootstrapVoters.get(0).equals(mState.mSelf.instance())) {
            return false;
        }
        List<Member> members = new ArrayList<>();
        members.add(new Member(mState.mSelf, MemberKind.VOTER));
        for (InstanceId instance : bootstrapVoters.subList(1, bootstrapVoters.size())) {
            Long replicaId = mEmptyReplicas.get(instance);
            if (replicaId == null) {
                return false;
            }
            members.add(new Member(ReplicaRef.of(instance, replicaId), MemberKind.VOTER));
        }
        formCluster(new Membership(mState.selfId(), members));
        return true;
    }

    private void formCluster(Membership membership) {
        byte[] data = WireCodec.encodeMembership(membership);
        Entry entry = new Entry(1, 1, EntryKind.MEMBERSHIP, 0, data);
        mState.append(entry);
        mState.persistEntries(List.of(entry));
        if (mState.term() == 0) {
            mState.persistHardState(mState.mHardState.inTerm(1, 0));
        }
    }
}
