package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.InstanceId;

/** What is held about one instance. */
final class MemberEntry {
    final long mShortId;
    InstanceInfo mInfo;
    Version mIncarnation;
    MemberStatus mStatus = MemberStatus.ALIVE;
    boolean mReady;
    boolean mDraining;
    long mConfigVersion;

    /** When the status was entered. */
    long mSinceNanos;

    /** When a suspicion ends; only meaningful in status SUSPECT. */
    long mDeadlineNanos;

    /** Whether the suspicion was prolonged to wait for evidence of a cut. */
    boolean mProlonged;

    int mFlaps;
    long mLastFlapNanos;
    long mTrustedAtNanos = Long.MIN_VALUE;

    MemberEntry(InstanceInfo info, News news, long nowNanos) {
        mShortId = news.shortId();
        mInfo = info;
        mIncarnation = news.incarnation();
        mSinceNanos = nowNanos;
        copy(news);
    }

    /** Takes over the fields that the member itself sets. */
    void copy(News news) {
        mIncarnation = news.incarnation();
        mReady = news.ready();
        mDraining = news.draining();
        mConfigVersion = news.configVersion();
        if (news.info() != null) {
            mInfo = news.info();
        }
    }

    InstanceId id() {
        return mInfo.id();
    }

    boolean isGone() {
        return mStatus == MemberStatus.DEAD || mStatus == MemberStatus.LEFT;
    }

    News news() {
        return new News(mShortId, mInfo, mIncarnation, mStatus, mReady, mDraining, mConfigVersion);
    }

    Member member(long nowNanos) {
        return new Member(
                mInfo,
                mIncarnation,
                mReady,
                mDraining,
                mConfigVersion,
                mStatus,
                mTrustedAtNanos <= nowNanos);
    }
}
