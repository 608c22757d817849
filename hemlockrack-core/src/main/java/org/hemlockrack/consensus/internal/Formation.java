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
 * What a replica with an empty folder does: it announces itself to the listed instances until a
 * leader adds it or, on the first listed instance, until all of them say that they are empty.
 *
 * <p>Only the first listed instance forms a cluster, and the cluster id is its replica id. A
 * replica accepts packets of one cluster only, so a cluster formed before a loss of the
 * coordinator's folder and one formed after it cannot both commit: each needs a majority among the
 * same other replicas.
 */
final class Formation {
    private final Core mCore;
    private final Map<InstanceId, Long> mEmpty = new HashMap<>();
    private long mHelloDueNanos;

    Formation(Core core) {
        mCore = core;
        mHelloDueNanos = core.mNowNanos;
    }

    long nextTimerNanos() {
        return mHelloDueNanos;
    }

    /** Announces this replica if it is due. Returns whether a cluster of one was formed. */
    boolean onTimer() {
        if (mCore.mNowNanos < mHelloDueNanos) {
            return false;
        }
        mHelloDueNanos = mCore.mNowNanos + mCore.mSettings.electionTimeoutNanos();
        announce();
        return formIfAllEmpty();
    }

    /**
     * Announces this replica to the listed instances. A learner that hears no leader does it too:
     * the entry that added it may have been lost with its leader.
     */
    void announce() {
        for (InstanceId instance : mCore.mSettings.listed()) {
            if (!instance.equals(mCore.mSelf.instance())) {
                mCore.send(ReplicaRef.of(instance, ReplicaRef.ANY), new Message.Hello(0));
            }
        }
    }

    /** Notes an answer. Returns whether the cluster was formed. */
    boolean onReply(Packet packet, Message.HelloReply reply) {
        boolean voter = mCore.membership().isVoter(mCore.selfId());
        if (reply.nonce() != 0 && !voter) {
            mCore.send(packet.from(), new Message.Hello(reply.nonce()));
        }
        if (!mCore.empty()) {
            return false;
        }
        if (!reply.empty()) {
            mEmpty.remove(packet.from().instance());
            return false;
        }
        if (!mCore.mSettings.listed().contains(packet.from().instance())) {
            return false;
        }
        mEmpty.put(packet.from().instance(), packet.from().replicaId());
        return formIfAllEmpty();
    }

    private boolean formIfAllEmpty() {
        List<InstanceId> listed = mCore.mSettings.listed();
        if (listed.isEmpty() || !listed.get(0).equals(mCore.mSelf.instance())) {
            return false;
        }
        List<Member> members = new ArrayList<>();
        members.add(new Member(mCore.mSelf, MemberKind.VOTER));
        for (InstanceId instance : listed.subList(1, listed.size())) {
            Long replicaId = mEmpty.get(instance);
            if (replicaId == null) {
                return false;
            }
            members.add(new Member(ReplicaRef.of(instance, replicaId), MemberKind.VOTER));
        }
        form(new Membership(mCore.selfId(), members));
        return true;
    }

    private void form(Membership membership) {
        byte[] data = WireCodec.encodeMembership(membership);
        Entry entry = new Entry(1, 1, EntryKind.MEMBERSHIP, 0, data);
        mCore.append(entry);
        mCore.persistEntries(List.of(entry));
        if (mCore.term() == 0) {
            mCore.persistMeta(mCore.mMeta.inTerm(1, 0));
        }
    }
}
