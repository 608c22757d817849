package org.hemlockrack.daemon.controller;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.SyncReply;

/**
 * A planned stop of a controller that votes: it announces that it leaves, and goes on until the
 * leader has given its seat to a learner. Thread-safe.
 */
final class SeatHandover {
    private final InstanceId mSelf;
    private final String mSelfAddress;
    private final ReplicaService mReplica;
    private final LeaderTasks mLeaderTasks;

    /** Peer addresses of the voters that no longer know this controller as a member. */
    private final Set<String> mForgottenBy = ConcurrentHashMap.newKeySet();

    private volatile boolean mLeaving;

    private SeatHandover(
            InstanceId self, String selfAddress, ReplicaService replica, LeaderTasks leaderTasks) {
        mSelf = self;
        mSelfAddress = selfAddress;
        mReplica = replica;
        mLeaderTasks = leaderTasks;
    }

    /**
     * Creates a handover that has not started.
     *
     * @param self this controller
     * @param selfAddress its peer address
     * @param replica its replica
     * @param leaderTasks knows which controllers answer
     */
    static SeatHandover create(
            InstanceId self, String selfAddress, ReplicaService replica, LeaderTasks leaderTasks) {
        return new SeatHandover(self, selfAddress, replica, leaderTasks);
    }

    /**
     * Returns whether this controller votes and its seat is not needed: a learner answers, or there
     * are more voters than needed, of which one that is gone would cost a tolerated loss.
     */
    boolean isPossible() {
        if (!mReplica.isVoter()) {
            return false;
        }
        if (mLeaderTasks.hasSurplusVoter()) {
            return true;
        }
        for (Member member : mReplica.membership().members()) {
            boolean isLearner = member.kind() == MemberKind.LEARNER;
            if (isLearner && mLeaderTasks.isResponsive(member.replica().instance())) {
                return true;
            }
        }
        return false;
    }

    /** Announces from now on that this controller leaves. */
    void start(long nowNanos) {
        mLeaving = true;
        mLeaderTasks.noteController(nowNanos, mSelf, true);
    }

    /** Returns whether this controller announces that it leaves. */
    boolean isLeaving() {
        return mLeaving;
    }

    /** Records what another controller says of the members. */
    void recordReply(String address, SyncReply reply) {
        boolean knowsMembers = reply.getVoters() > 0 && reply.isSetControllers();
        if (knowsMembers && !reply.getControllers().contains(mSelfAddress)) {
            mForgottenBy.add(address);
        } else {
            mForgottenBy.remove(address);
        }
    }

    /**
     * Returns whether the seat is given up. A member that is removed as a follower does not receive
     * the entry that removes it, so a majority of the other voters must report it.
     */
    boolean isDone() {
        if (mReplica.role() == Role.LEADER) {
            // It steps down once its removal is committed.
            return false;
        }
        if (!mReplica.isVoter()) {
            return true;
        }
        Membership membership = mReplica.membership();
        int others = membership.voters().size() - 1;
        return 2 * mForgottenBy.size() > others;
    }
}
