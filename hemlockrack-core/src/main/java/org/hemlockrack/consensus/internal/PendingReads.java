package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.ConsensusOutput;

/**
 * Reads that wait until a majority confirms the leadership. One round of heartbeats serves all
 * reads that were waiting when it started.
 */
final class PendingReads {
    private final RaftState mState;
    private final List<Long> mWaitingTickets = new ArrayList<>();
    private final List<Long> mActiveTickets = new ArrayList<>();
    private long mActiveReadIndex;
    private long mRound;

    PendingReads(RaftState state) {
        mState = state;
    }

    void add(long ticket) {
        mWaitingTickets.add(ticket);
    }

    long round() {
        return mRound;
    }

    boolean hasActiveRound() {
        return !mActiveTickets.isEmpty();
    }

    /** Starts a round if reads are waiting and no round is active. Returns whether it started. */
    boolean startRound() {
        if (hasActiveRound() || mWaitingTickets.isEmpty()) {
            return false;
        }
        mRound++;
        mActiveReadIndex = mState.mCommitIndex;
        mActiveTickets.addAll(mWaitingTickets);
        mWaitingTickets.clear();
        return true;
    }

    void finishRound() {
        for (long ticket : mActiveTickets) {
            mState.emit(new ConsensusOutput.ReadReady(ticket, mActiveReadIndex));
        }
        mActiveTickets.clear();
    }

    void failAll() {
        mActiveTickets.addAll(mWaitingTickets);
        mWaitingTickets.clear();
        for (long ticket : mActiveTickets) {
            mState.emit(new ConsensusOutput.ReadFailed(ticket, mState.leaderInstance()));
        }
        mActiveTickets.clear();
    }
}
