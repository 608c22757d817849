package org.hemlockrack.consensus.internal;

import java.util.ArrayDeque;
import org.hemlockrack.consensus.ReplicaRef;

/** Replication progress of one other member, as tracked by the leader. */
final class MemberProgress {
    final ReplicaRef mReplica;

    /** The appends with entries that are not answered yet. */
    private final ArrayDeque<SentAppend> mInflightAppends = new ArrayDeque<>();

    private long mInflightBytes;
    private long mAppendSentNanos;

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

    /**
     * An append with entries.
     *
     * @param lastIndex index of its last entry
     * @param bytes size of its entries
     */
    private record SentAppend(long lastIndex, long bytes) {}

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

    /** Returns how long the answer to the last append took, or 0 if some are not answered yet. */
    long onStored(long nowNanos, long index) {
        boolean wasWaiting = !mInflightAppends.isEmpty();
        mProbing = false;
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        while (!mInflightAppends.isEmpty() && mInflightAppends.peek().lastIndex() <= mMatchIndex) {
            mInflightBytes -= mInflightAppends.poll().bytes();
        }
        if (mSnapshotIndex <= mMatchIndex) {
            mSnapshotIndex = 0;
        }
        return wasWaiting && mInflightAppends.isEmpty() ? nowNanos - mAppendSentNanos : 0;
    }

    /** While probing, the next index stays, so that a refusal of this append is recognized. */
    void onSent(long nowNanos, long lastIndex, long bytes) {
        mInflightAppends.add(new SentAppend(lastIndex, bytes));
        mInflightBytes += bytes;
        mAppendSentNanos = nowNanos;
        if (!mProbing) {
            mNextIndex = lastIndex + 1;
        }
    }

    void onRefused(long next) {
        mProbing = true;
        forgetAppends();
        mNextIndex = Math.max(mMatchIndex + 1, next);
    }

    /** Drops the appends that are not answered. */
    void forgetAppends() {
        mInflightAppends.clear();
        mInflightBytes = 0;
    }

    /** Returns the bytes of entries that were sent after a time and are not answered yet. */
    long inflightBytesSince(long nanos) {
        return mAppendSentNanos - nanos > 0 ? mInflightBytes : 0;
    }

    boolean canSend(int maxInflight) {
        return mSnapshotIndex == 0 && mInflightAppends.size() < (mProbing ? 1 : maxInflight);
    }
}
