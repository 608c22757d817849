package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.InstanceId;

/** Local state of one instance in the member table. */
final class MemberEntry {
    final long mShortId;
    InstanceInfo mInfo;
    Version mIncarnation;
    MemberStatus mStatus = MemberStatus.ALIVE;
    boolean mReady;
    boolean mDraining;
    long mConfigVersion;

    /** When the member entered its status. */
    long mStatusSinceNanos;

    /** When the suspicion ends; only meaningful in status SUSPECT. */
    long mSuspicionEndNanos;

    /** Whether the suspicion was extended to wait for evidence of a partition. */
    boolean mSuspicionExtended;

    int mFlaps;
    long mLastFlapNanos;
    long mDampedUntilNanos = Long.MIN_VALUE;

    MemberEntry(InstanceInfo info, MemberUpdate update, long nowNanos) {
        mShortId = update.shortId();
        mInfo = info;
        mIncarnation = update.incarnation();
        mStatusSinceNanos = nowNanos;
        applyUpdate(update);
    }

    /** Copies the fields that the member itself sets from an update. */
    void applyUpdate(MemberUpdate update) {
        mIncarnation = update.incarnation();
        mReady = update.ready();
        mDraining = update.draining();
        mConfigVersion = update.configVersion();
        if (update.info() != null) {
            mInfo = update.info();
        }
    }

    InstanceId id() {
        return mInfo.id();
    }

    boolean isGone() {
        return mStatus == MemberStatus.DEAD || mStatus == MemberStatus.LEFT;
    }

    MemberUpdate toUpdate() {
        return new MemberUpdate(
                mShortId, mInfo, mIncarnation, mStatus, mReady, mDraining, mConfigVersion);
    }

    Member toMember(long nowNanos) {
        return new Member(
                mInfo,
                mIncarnation,
                mReady,
                mDraining,
                mConfigVersion,
                mStatus,
                mDampedUntilNanos <= nowNanos);
    }
}
