package org.hemlockrack.consensus.internal;

import java.util.HashSet;
import java.util.Set;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProtocolFeature;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.VoteRefusal;
import org.jspecify.annotations.Nullable;

/** Pre-votes and votes, for both the candidate and the voter. */
final class Election {
    private final RaftState mState;
    private final Set<Long> mGrantedBy = new HashSet<>();

    Election(RaftState state) {
        mState = state;
    }

    /** Starts a pre-vote, or the vote itself. Returns whether the election is already won. */
    boolean start() {
        mState.resetElectionDeadline();
        if (!mState.electorate().isVoter(mState.selfId())) {
            forgetLeader();
            return false;
        }
        if (mState.mSettings.disabledFeatures().contains(ProtocolFeature.PRE_VOTE)) {
            return startVote();
        }
        mState.mRole = Role.PRE_CANDIDATE;
        mState.mLeader = null;
        mState.emitRoleChanged();
        mGrantedBy.clear();
        mGrantedBy.add(mState.selfId());
        if (isWon()) {
            return startVote();
        }
        long lastIndex = mState.mLog.lastIndex();
        requestVotes(mState.term() + 1, new Message.PreVote(lastIndex, mState.mLog.lastTerm()));
        return false;
    }

    private void forgetLeader() {
        if (mState.mLeader != null) {
            mState.mLeader = null;
            mState.emitRoleChanged();
        }
    }

    private boolean startVote() {
        mState.mRole = Role.CANDIDATE;
        mState.mLeader = null;
        mState.persistHardState(mState.mHardState.inTerm(mState.term() + 1, mState.selfId()));
        mState.emitRoleChanged();
        mState.resetElectionDeadline();
        mGrantedBy.clear();
        mGrantedBy.add(mState.selfId());
        if (isWon()) {
            return true;
        }
        requestVotes(
                mState.term(), new Message.Vote(mState.mLog.lastIndex(), mState.mLog.lastTerm()));
        return false;
    }

    private void requestVotes(long term, Message request) {
        for (ReplicaRef voter : mState.electorate().voters()) {
            if (voter.replicaId() != mState.selfId()) {
                mState.send(voter, term, request);
            }
        }
    }

    private boolean isWon() {
        return mState.electorate().hasMajority(mGrantedBy);
    }

    /** Answers a pre-vote request; this changes no state. */
    void onPreVote(Packet packet, Message.PreVote request) {
        VoteRefusal refusal = preVoteRefusal(packet, request);
        if (refusal != null) {
            mState.countRefusal(refusal);
        }
        boolean granted = refusal == null;
        long term = granted ? packet.term() : mState.term();
        mState.send(packet.from(), term, new Message.PreVoteReply(granted));
    }

    private @Nullable VoteRefusal preVoteRefusal(Packet packet, Message.PreVote request) {
        if (packet.term() <= mState.term()) {
            return VoteRefusal.TERM_OUTDATED;
        }
        if (mState.hasRecentLeaderContact()) {
            return VoteRefusal.LEADER_KNOWN;
        }
        return isUpToDate(request.lastIndex(), request.lastTerm()) ? null : VoteRefusal.LOG_BEHIND;
    }

    /**
     * Counts a pre-vote and starts the vote at a majority. Returns whether the election is already
     * won.
     */
    boolean onPreVoteReply(Packet packet, Message.PreVoteReply reply) {
        if (mState.mRole != Role.PRE_CANDIDATE || packet.term() != mState.term() + 1) {
            return false;
        }
        if (!reply.granted()) {
            return false;
        }
        mGrantedBy.add(packet.from().replicaId());
        return isWon() && startVote();
    }

    /** Answers a vote request of the current or an earlier term. */
    void onVote(Packet packet, Message.Vote request) {
        long candidate = packet.from().replicaId();
        VoteRefusal refusal = voteRefusal(packet, request);
        if (refusal == null) {
            mState.persistHardState(mState.mHardState.inTerm(mState.term(), candidate));
            mState.resetElectionDeadline();
        } else {
            mState.countRefusal(refusal);
        }
        mState.send(packet.from(), new Message.VoteReply(refusal == null));
    }

    private @Nullable VoteRefusal voteRefusal(Packet packet, Message.Vote request) {
        long vote = mState.mHardState.vote();
        if (packet.term() != mState.term()) {
            return VoteRefusal.TERM_OUTDATED;
        }
        if (vote != 0 && vote != packet.from().replicaId()) {
            return VoteRefusal.VOTE_GIVEN;
        }
        return isUpToDate(request.lastIndex(), request.lastTerm()) ? null : VoteRefusal.LOG_BEHIND;
    }

    /** Counts a vote of the current term. Returns whether the election is won. */
    boolean onVoteReply(Packet packet, Message.VoteReply reply) {
        if (mState.mRole != Role.CANDIDATE || !reply.granted()) {
            return false;
        }
        mGrantedBy.add(packet.from().replicaId());
        return isWon();
    }

    private boolean isUpToDate(long lastIndex, long lastTerm) {
        long ownTerm = mState.mLog.lastTerm();
        if (lastTerm != ownTerm) {
            return lastTerm > ownTerm;
        }
        return lastIndex >= mState.mLog.lastIndex();
    }
}
