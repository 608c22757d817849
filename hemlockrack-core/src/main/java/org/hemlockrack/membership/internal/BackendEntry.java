package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Version;

/** What is held about one backend server. */
final class BackendEntry {
    final long mShortId;
    Backend mBackend;

    /** When the owner was found gone, or the server stated to be gone. */
    long mGoneSinceNanos = Long.MAX_VALUE;

    /** Whether the owner has been gone for longer than the grace period. */
    boolean mExpired;

    Version mLoadVersion = Version.of(0, 0);
    int mInFlight;

    /** The load that was last spread; only used by the owner. */
    int mSpreadInFlight;

    long mSpreadAtNanos = Long.MIN_VALUE;

    BackendEntry(long shortId, Backend backend) {
        mShortId = shortId;
        mBackend = backend;
    }

    boolean isGone() {
        return mExpired || mBackend.state() == BackendState.GONE;
    }

    /** Returns the entry as a view shows it. */
    Backend shown() {
        return mExpired ? mBackend.withState(BackendState.GONE) : mBackend;
    }
}
