package org.hemlockrack.quarantine;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;

/** The end of one incarnation of a backend server, as the requests show that it cut. */
final class Crash {
    /** Cuts and refused connections within this time after the first cut belong to one crash. */
    private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Attempts that are told apart; two are enough to show that the whole server has ended. */
    private static final int MAX_ATTEMPTS = 256;

    /** Largest number of parts. */
    private static final int MAX_PARTS = 512;

    private static final int MIN_CUT_ATTEMPTS = 2;

    /** More requests than this wait at a server only if it is overloaded. */
    private static final int MANY_WAITING = 8;

    private final BackendId mServer;
    private final long mStartMillis;
    private final long mAtNanos;
    private final long mKnownSinceNanos;
    private final Set<Long> mAttempts = new HashSet<>();
    private int mWaitingAttempts;

    /** The parts of requests without an answer, with their largest position in a prompt. */
    private final Map<String, Integer> mParts = new LinkedHashMap<>();

    /** The own parts of requests without an answer. */
    private final Set<String> mOwnParts = new LinkedHashSet<>();

    private boolean mRefusedConnection;
    private boolean mServerRuns;

    Crash(Cut first, long atNanos, long knownSinceNanos) {
        mKnownSinceNanos = knownSinceNanos;
        mServer = first.server();
        mStartMillis = first.startMillis();
        mAtNanos = atNanos;
    }

    BackendId server() {
        return mServer;
    }

    long startMillis() {
        return mStartMillis;
    }

    long atNanos() {
        return mAtNanos;
    }

    long knownSinceNanos() {
        return mKnownSinceNanos;
    }

    boolean isSameIncarnation(Cut cut) {
        return cut.server().equals(mServer) && cut.startMillis() == mStartMillis;
    }

    boolean isNear(long atNanos) {
        return Math.abs(atNanos - mAtNanos) <= SPAN_NANOS;
    }

    void add(Cut cut) {
        if (cut.isRefusedConnection()) {
            mRefusedConnection = true;
            return;
        }
        boolean added = mAttempts.size() < MAX_ATTEMPTS && mAttempts.add(cut.attemptHash());
        if (added && !cut.parts().isEmpty()) {
            mWaitingAttempts++;
        }
        if (cut.ownPart() != null && mOwnParts.size() < MAX_PARTS) {
            mOwnParts.add(cut.ownPart());
        }
        int position = 0;
        for (String part : cut.parts()) {
            if (mParts.size() < MAX_PARTS || mParts.containsKey(part)) {
                mParts.merge(part, position, Math::max);
            }
            position++;
        }
    }

    /** Returns whether so many requests waited for an answer that the crash says little of each. */
    boolean hasManyWaiting() {
        return mWaitingAttempts > MANY_WAITING;
    }

    /** Records that the server sent something later, so that it has not crashed. */
    void markRunning() {
        mServerRuns = true;
    }

    /**
     * Returns whether the server has ended, rather than one connection: several attempts were cut
     * at once, or it refuses connections.
     */
    boolean isConfirmed() {
        return !mServerRuns && (mRefusedConnection || mAttempts.size() >= MIN_CUT_ATTEMPTS);
    }

    boolean isServerRunning() {
        return mServerRuns;
    }

    /** Returns whether a request without an answer contained a part, shared or its own. */
    boolean contains(String part) {
        return mParts.containsKey(part) || mOwnParts.contains(part);
    }

    /** Returns the own parts of requests without an answer. */
    Set<String> ownParts() {
        return mOwnParts;
    }

    /**
     * Returns the shared parts of requests without an answer, with their largest position in a
     * prompt.
     */
    Map<String, Integer> parts() {
        return mParts;
    }
}
