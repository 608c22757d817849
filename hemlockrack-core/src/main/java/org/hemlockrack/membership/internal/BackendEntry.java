package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Version;

/** Local state of one backend server in the directory. */
final class BackendEntry {
    final long mShortId;
    Backend mBackend;

    /** When the owner was found to be gone, or the server was published as gone. */
    long mGoneSinceNanos = Long.MAX_VALUE;

    /** Whether the owner has been gone for longer than the grace period. */
    boolean mOwnerExpired;

    Version mLoadVersion = Version.of(0, 0);
    int mInFlight;

    /** The load that was last published; only used by the owner. */
    int mPublishedInFlight;

    long mPublishedAtNanos = Long.MIN_VALUE;

    BackendEntry(long shortId, Backend backend) {
        mShortId = shortId;
        mBackend = backend;
    }

    boolean isGone() {
        return mOwnerExpired || mBackend.state() == BackendState.GONE;
    }

    /** Returns the entry for a view, in state GONE if its owner has expired. */
    Backend toBackend() {
        return mOwnerExpired ? mBackend.withState(BackendState.GONE) : mBackend;
    }
}
