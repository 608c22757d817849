package org.hemlockrack.consensus.internal;

import java.util.HashSet;
import java.util.Set;
import org.hemlockrack.consensus.Mechanism;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.Role;

/** Pre-votes and votes, from both sides. */
final class Elections {
    private final Core mCore;
    private final Set<Long> mGranted = new HashSet<>();

    Elections(Core core) {
        mCore = core;
    }

    /** Starts a pre-vote, or a vote. Returns whether the election is won already. */
    boolean start() {
        mCore.resetElectionDeadline();
        if (!mCore.membership().isVoter(mCore.selfId())) {
            return false;
        }
        if (mCore.mSettings.off().contains(Mechanism.PRE_VOTE)) {
            return startVote();
        }
        mCore.mRole = Role.PRE_CANDIDATE;
        mCore.mLeader = null;
        mCore.roleChanged();
        mGranted.clear();
        mGranted.add(mCore.selfId());
        if (won()) {
            return startVote();
        }
        long lastIndex = mCore.mLog.lastIndex();
        ask(mCore.term() + 1, new Message.PreVote(lastIndex, mCore.mLog.lastTerm()));
        return false;
    }

    private boolean startVote() {
        mCore.mRole = Role.CANDIDATE;
        mCore.mLeader = null;
        mCore.persistMeta(mCore.mMeta.inTerm(mCore.term() + 1, mCore.selfId()));
        mCore.roleChanged();
        mCore.resetElectionDeadline();
        mGranted.clear();
        mGranted.add(mCore.selfId());
        if (won()) {
            return true;
        }
        ask(mCore.term(), new Message.Vote(mCore.mLog.lastIndex(), mCore.mLog.lastTerm()));
        return false;
    }

    private void ask(long term, Message request) {
        for (ReplicaRef voter : mCore.membership().voters()) {
            if (voter.replicaId() != mCore.selfId()) {
                mCore.send(voter, term, request);
            }
        }
    }

    private boolean won() {
        return mCore.membership().hasMajority(mGranted);
    }

    /** Answers a pre-vote request; no state changes. */
    void onPreVote(Packet packet, Message.PreVote request) {
        boolean granted =
                packet.term() > mCore.term()
                        && !mCore.leaderIsFresh()
                        && upToDate(request.lastIndex(), request.lastTerm());
        long term = granted ? packet.term() : mCore.term();
        mCore.send(packet.from(), term, new Message.PreVoteReply(granted));
    }

    /** Counts a pre-vote. Returns whether the election that it started is won already. */
    boolean onPreVoteReply(Packet packet, Message.PreVoteReply reply) {
        if (mCore.mRole != Role.PRE_CANDIDATE || packet.term() != mCore.term() + 1) {
            return false;
        }
        if (!reply.granted()) {
            return false;
        }
        mGranted.add(packet.from().replicaId());
        return won() && startVote();
    }

    /** Answers a vote request of the current or an earlier term. */
    void onVote(Packet packet, Message.Vote request) {
        long candidate = packet.from().replicaId();
        long vote = mCore.mMeta.vote();
        boolean granted =
                packet.term() == mCore.term()
                        && (vote == 0 || vote == candidate)
                        && upToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            mCore.persistMeta(mCore.mMeta.inTerm(mCore.term(), candidate));
            mCore.resetElectionDeadline();
        }
        mCore.send(packet.from(), new Message.VoteReply(granted));
    }

    /** Counts a vote of the current term. Returns whether the election is won. */
    boolean onVoteReply(Packet packet, Message.VoteReply reply) {
        if (mCore.mRole != Role.CANDIDATE || !reply.granted()) {
            return false;
        }
        mGranted.add(packet.from().replicaId());
        return won();
    }

    private boolean upToDate(long lastIndex, long lastTerm) {
        long ownTerm = mCore.mLog.lastTerm();
        if (lastTerm != ownTerm) {
            return lastTerm > ownTerm;
        }
        return lastIndex >= mCore.mLog.lastIndex();
    }
}
