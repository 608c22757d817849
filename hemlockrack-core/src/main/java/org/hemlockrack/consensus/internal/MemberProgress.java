package org.hemlockrack.consensus.internal;

import java.util.ArrayDeque;
import org.hemlockrack.consensus.ReplicaRef;

/** Replication progress of one other member, as tracked by the leader. */
final class MemberProgress {
    final ReplicaRef mReplica;

    /** Last log indexes of the appends that are not answered yet. */
    final ArrayDeque<Long> mInflightAppends = new ArrayDeque<>();

    long mNextIndex;
    long mMatchIndex;

    /** True until the follower confirms a common entry; allows one unanswered append at a time. */
    boolean mProbing = true;

    boolean mEverHeard;
    long mLastHeardNanos;
    long mReadRound;
    long mSnapshotIndex;
    long mSnapshotOffset;
    long mSnapshotSentNanos;

    MemberProgress(ReplicaRef replica, long next, long nowNanos) {
        mReplica = replica;
        mNextIndex = next;
        mLastHeardNanos = nowNanos;
    }

    void onReply(long nowNanos, long round) {
        mEverHeard = true;
        mLastHeardNanos = nowNanos;
        mReadRound = Math.max(mReadRound, round);
    }

    void onStored(long index) {
        mProbing = false;
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        while (!mInflightAppends.isEmpty() && mInflightAppends.peek() <= mMatchIndex) {
            mInflightAppends.poll();
        }
        if (mSnapshotIndex <= mMatchIndex) {
            mSnapshotIndex = 0;
        }
    }

    /** While probing, the next index stays, so that a refusal of this append is recognized. */
    void onSent(long lastIndex) {
        mInflightAppends.add(lastIndex);
        if (!mProbing) {
            mNextIndex = lastIndex + 1;
        }
    }

    void onRefused(long next) {
        mProbing = true;
        mInflightAppends.clear();
        mNextIndex = Math.max(mMatchIndex + 1, next);
    }

    boolean canSend(int maxInflight) {
        return mSnapshotIndex == 0 && mInflightAppends.size() < (mProbing ? 1 : maxInflight);
    }
}
