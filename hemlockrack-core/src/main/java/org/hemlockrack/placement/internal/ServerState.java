package org.hemlockrack.placement.internal;

import org.hemlockrack.placement.Candidate;

/** What an instance knows about one candidate across updates. */
final class ServerState {
    /** Eviction ages averaged before they replace the estimate from sizes; one is mostly noise. */
    private static final int MIN_EVICTIONS = 8;

    /** 30 s; a server under load publishes an event every second or so. */
    private static final int EVENT_SILENCE_TICKS = 300;

    /** CacheBench: most reuse remains up to here, and none after a whole turnover. */
    private static final double LIFE_ACROSS_GAP = 0.75;

    private static final double SMOOTHING = 0.1;
    private static final int NEVER = -1;

    private final int mSlot;
    private final SequenceWindow mSequence = new SequenceWindow();
    private Candidate mCandidate;
    private int mListedTick;
    private int mColdTick;
    private int mGapTick = NEVER;
    private int mEventTick = NEVER;
    private int mEvictions;
    private double mEvictionAgeTicks;

    private ServerState(int slot, Candidate candidate, int coldTick) {
        mSlot = slot;
        mCandidate = candidate;
        mColdTick = coldTick;
    }

    /** Creates the state of a server whose cache was empty at the given time, or -1. */
    static ServerState of(int slot, Candidate candidate, int coldTick) {
        return new ServerState(slot, candidate, coldTick);
    }

    int slot() {
        return mSlot;
    }

    Candidate candidate() {
        return mCandidate;
    }

    /** Returns the load per slot by the last summary. */
    double loadRatio() {
        return (double) mCandidate.load() / Math.max(1, mCandidate.limit());
    }

    void eventArrived(int tick) {
        mEventTick = tick;
    }

    /** Returns whether cache events arrive, so that all instances learn where chats are. */
    boolean publishesEvents(int tick) {
        return mEventTick != NEVER && tick - mEventTick < EVENT_SILENCE_TICKS;
    }

    int listedTick() {
        return mListedTick;
    }

    SequenceWindow sequence() {
        return mSequence;
    }

    void list(Candidate candidate, int tick) {
        mListedTick = tick;
        if (candidate.incarnation() != mCandidate.incarnation()) {
            mSequence.reset();
            clear(tick);
        }
        mCandidate = candidate;
    }

    /** Makes every place recorded up to this time worthless. */
    void clear(int tick) {
        mColdTick = Math.max(mColdTick, tick);
    }

    /** Records that events are missing, so evictions may have gone unseen. */
    void gap(int tick) {
        mGapTick = tick;
    }

    boolean coldWithin(int tick, int windowTicks) {
        return mColdTick >= 0 && tick - mColdTick < windowTicks;
    }

    void evicted(int ageTicks) {
        mEvictions++;
        double weight = Math.max(SMOOTHING, 1.0 / mEvictions);
        mEvictionAgeTicks += weight * (ageTicks - mEvictionAgeTicks);
    }

    /** Returns the expected life of an unused cache entry. */
    double turnoverTicks(double ticksPerSecond, double defaultTicks) {
        if (mEvictions >= MIN_EVICTIONS) {
            return mEvictionAgeTicks;
        }
        if (mCandidate.cacheTokens() == 0 || mCandidate.fillTokensPerSecond() == 0) {
            return defaultTicks;
        }
        return mCandidate.cacheTokens() / mCandidate.fillTokensPerSecond() * ticksPerSecond;
    }

    /** Returns whether a place used at a time still holds the chat, as far as is known. */
    boolean holds(int usedTick, int tick, double turnoverTicks) {
        if (usedTick <= mColdTick) {
            return false;
        }
        // The missing events may be evictions.
        double life = usedTick <= mGapTick ? turnoverTicks * LIFE_ACROSS_GAP : turnoverTicks;
        return tick - usedTick < life;
    }
}
