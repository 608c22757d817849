package org.hemlockrack.placement.internal;

import org.hemlockrack.placement.Candidate;

/** Cache state of one candidate that is kept across updates. */
final class ServerCacheState {
    /**
     * Evictions needed before their mean age replaces the estimate from the cache size; the age of
     * a single one is mostly noise.
     */
    private static final int MIN_EVICTIONS = 8;

    /** 30 s without events; a server under load publishes about one per second. */
    private static final int MAX_EVENT_AGE_TICKS = 300;

    /**
     * Share of the turnover for which an entry is trusted after missing events: most entries are
     * still cached at this age, and none after a whole turnover.
     */
    private static final double TURNOVER_SHARE_AFTER_GAP = 0.75;

    private static final double SMOOTHING = 0.1;
    private static final int NEVER = -1;

    private final int mSlot;
    private final SequenceWindow mSequenceWindow = new SequenceWindow();
    private Candidate mCandidate;
    private int mLastListedTick;
    private int mColdTick;
    private int mLastGapTick = NEVER;
    private int mLastEventTick = NEVER;
    private int mEvictions;
    private double mMeanEvictionAgeTicks;

    private ServerCacheState(int slot, Candidate candidate, int coldTick) {
        mSlot = slot;
        mCandidate = candidate;
        mColdTick = coldTick;
    }

    /** Creates the state of a server whose cache was empty at the given tick, -1 if not known. */
    static ServerCacheState of(int slot, Candidate candidate, int coldTick) {
        return new ServerCacheState(slot, candidate, coldTick);
    }

    int slot() {
        return mSlot;
    }

    Candidate candidate() {
        return mCandidate;
    }

    /** Returns load divided by limit, from the last load summary. */
    double loadRatio() {
        return (double) mCandidate.load() / Math.max(1, mCandidate.limit());
    }

    void recordEvent(int tick) {
        mLastEventTick = tick;
    }

    /** Returns whether cache events arrive, which inform all instances of cached chats. */
    boolean publishesEvents(int tick) {
        return mLastEventTick != NEVER && tick - mLastEventTick < MAX_EVENT_AGE_TICKS;
    }

    int lastListedTick() {
        return mLastListedTick;
    }

    SequenceWindow sequenceWindow() {
        return mSequenceWindow;
    }

    void updateListing(Candidate candidate, int tick) {
        mLastListedTick = tick;
        if (candidate.incarnation() != mCandidate.incarnation()) {
            mSequenceWindow.reset();
            invalidate(tick);
        }
        mCandidate = candidate;
    }

    /** Invalidates all uses of this server recorded up to a tick, because its cache was emptied. */
    void invalidate(int tick) {
        mColdTick = Math.max(mColdTick, tick);
    }

    /** Records that events are missing, so that evictions may have been missed. */
    void recordGap(int tick) {
        mLastGapTick = tick;
    }

    boolean isColdWithin(int tick, int windowTicks) {
        return mColdTick >= 0 && tick - mColdTick < windowTicks;
    }

    void recordEviction(int ageTicks) {
        mEvictions++;
        double weight = Math.max(SMOOTHING, 1.0 / mEvictions);
        mMeanEvictionAgeTicks += weight * (ageTicks - mMeanEvictionAgeTicks);
    }

    /** Returns the expected lifetime of an unused cache entry in ticks. */
    double turnoverTicks(double ticksPerSecond, double defaultTicks) {
        if (mEvictions >= MIN_EVICTIONS) {
            return mMeanEvictionAgeTicks;
        }
        if (mCandidate.cacheTokens() == 0 || mCandidate.fillTokensPerSecond() == 0) {
            return defaultTicks;
        }
        return mCandidate.cacheTokens() / mCandidate.fillTokensPerSecond() * ticksPerSecond;
    }

    /** Returns whether a chat last served at a tick is probably still cached. */
    boolean probablyHolds(int usedTick, int tick, double turnoverTicks) {
        if (usedTick <= mColdTick) {
            return false;
        }
        // Events that are missing may have been evictions.
        double life =
                usedTick <= mLastGapTick ? turnoverTicks * TURNOVER_SHARE_AFTER_GAP : turnoverTicks;
        return tick - usedTick < life;
    }
}
