package org.hemlockrack.consensus.internal;

import java.util.ArrayDeque;
import org.hemlockrack.consensus.ReplicaRef;

/** What a leader knows about one other member. */
final class Progress {
    final ReplicaRef mReplica;

    /** Last indices of appends that are not answered yet. */
    final ArrayDeque<Long> mInflight = new ArrayDeque<>();

    long mNext;
    long mMatch;

    /** True until the follower confirmed a common entry; then only one append is outstanding. */
    boolean mProbing = true;

    boolean mEverHeard;
    long mHeardNanos;
    long mRound;
    long mSnapshotIndex;
    long mSnapshotOffset;
    long mSnapshotSentNanos;

    Progress(ReplicaRef replica, long next, long nowNanos) {
        mReplica = replica;
        mNext = next;
        mHeardNanos = nowNanos;
    }

    void heard(long nowNanos, long round) {
        mEverHeard = true;
        mHeardNanos = nowNanos;
        mRound = Math.max(mRound, round);
    }

    void matched(long index) {
        mProbing = false;
        mMatch = Math.max(mMatch, index);
        mNext = Math.max(mNext, mMatch + 1);
        while (!mInflight.isEmpty() && mInflight.peek() <= mMatch) {
            mInflight.poll();
        }
        if (mSnapshotIndex <= mMatch) {
            mSnapshotIndex = 0;
        }
    }

    /** While probing, the next index stays, so that the answer to this append is recognized. */
    void sent(long lastIndex) {
        mInflight.add(lastIndex);
        if (!mProbing) {
            mNext = lastIndex + 1;
        }
    }

    void refused(long next) {
        mProbing = true;
        mInflight.clear();
        mNext = Math.max(mMatch + 1, next);
    }

    boolean canSend(int maxInflight) {
        return mSnapshotIndex == 0 && mInflight.size() < (mProbing ? 1 : maxInflight);
    }
}
