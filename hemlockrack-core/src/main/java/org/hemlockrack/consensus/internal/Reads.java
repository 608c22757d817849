package org.hemlockrack.consensus.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.ConsensusOutput;

/** Reads that wait for a majority round; one round serves all reads that waited for it. */
final class Reads {
    private final Core mCore;
    private final List<Long> mWaiting = new ArrayList<>();
    private final List<Long> mActive = new ArrayList<>();
    private long mActiveIndex;
    private long mRound;

    Reads(Core core) {
        mCore = core;
    }

    void add(long ticket) {
        mWaiting.add(ticket);
    }

    long round() {
        return mRound;
    }

    boolean active() {
        return !mActive.isEmpty();
    }

    /** Starts a round if reads wait and none runs. Returns whether it was started. */
    boolean startRound() {
        if (active() || mWaiting.isEmpty()) {
            return false;
        }
        mRound++;
        mActiveIndex = mCore.mCommit;
        mActive.addAll(mWaiting);
        mWaiting.clear();
        return true;
    }

    void finishRound() {
        for (long ticket : mActive) {
            mCore.emit(new ConsensusOutput.ReadReady(ticket, mActiveIndex));
        }
        mActive.clear();
    }

    void fail() {
        mActive.addAll(mWaiting);
        mWaiting.clear();
        for (long ticket : mActive) {
            mCore.emit(new ConsensusOutput.ReadFailed(ticket, mCore.leaderInstance()));
        }
        mActive.clear();
    }
}
