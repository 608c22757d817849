package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Chooses the next member to probe and tracks the probes in flight. */
final class Prober {
    /**
     * Time to wait for the answer to an attempt; several times the longest round trip between
     * regions.
     */
    static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /**
     * Attempts before a member is suspected. With a single direct attempt and 20% message loss, 12
     * instances spent their whole budget on suspicions (seed 989).
     */
    static final int MAX_ATTEMPTS = 3;

    /**
     * Number of members that are asked for an indirect probe, with the last attempt only. An
     * indirect probe takes four messages; with three indirect probes at the second attempt, 12
     * instances at 15% message loss had no budget left for urgent rumors (seed 998).
     */
    static final int INDIRECT_PROBERS = 2;

    /** Maximum number of probes in flight. */
    private static final int MAX_PROBES = 256;

    private final Map<Long, Probe> mProbes = new HashMap<>();
    private final List<Long> mOrder = new ArrayList<>();
    private final RandomGenerator mRandom;
    private long mSequence;

    Prober(RandomGenerator random) {
        mRandom = random;
        mSequence = random.nextInt(1 << 20);
    }

    /** Returns the next member in a random order that visits all before it repeats one. */
    @Nullable MemberEntry nextTarget(MemberTable members) {
        for (int attempt = 0; attempt < 2; attempt++) {
            while (!mOrder.isEmpty()) {
                MemberEntry entry = members.get(mOrder.remove(mOrder.size() - 1));
                if (entry != null && entry.mStatus.isReachable()) {
                    return entry;
                }
            }
            for (MemberEntry entry : members.others(other -> other.mStatus.isReachable())) {
                mOrder.add(entry.mShortId);
            }
            Collections.shuffle(mOrder, new Random(mRandom.nextLong()));
        }
        return null;
    }

    /** Starts a probe; returns its sequence number. */
    long start(long nowNanos, long target, boolean expectAnswer) {
        mSequence++;
        if (expectAnswer && mProbes.size() < MAX_PROBES) {
            mProbes.put(mSequence, new Probe(target, nowNanos, 0, 0));
        }
        return mSequence;
    }

    /** Starts an indirect probe that another member requested; returns its sequence number. */
    long startForRequester(long nowNanos, long target, long requester, long requesterSequence) {
        mSequence++;
        if (mProbes.size() < MAX_PROBES) {
            mProbes.put(mSequence, new Probe(target, nowNanos, requester, requesterSequence));
        }
        return mSequence;
    }

    /** Ends a probe; returns null if it is not in flight. */
    @Nullable Probe removeProbe(long sequence) {
        return mProbes.remove(sequence);
    }

    /** Ends all probes without a result. */
    void clear() {
        mProbes.clear();
    }

    long nextDeadlineNanos() {
        long next = Long.MAX_VALUE;
        for (Probe probe : mProbes.values()) {
            next = Math.min(next, probe.deadlineNanos());
        }
        return next;
    }

    /** Returns the probes whose current deadline has passed; those that failed are removed. */
    Map<Long, Probe> takeDue(long nowNanos) {
        Map<Long, Probe> due = new HashMap<>();
        if (mProbes.isEmpty()) {
            return due;
        }
        for (Map.Entry<Long, Probe> entry : mProbes.entrySet()) {
            if (entry.getValue().deadlineNanos() <= nowNanos) {
                due.put(entry.getKey(), entry.getValue());
            }
        }
        for (Map.Entry<Long, Probe> entry : due.entrySet()) {
            Probe probe = entry.getValue();
            if (probe.mRequester != 0 || probe.mAttempts >= MAX_ATTEMPTS) {
                mProbes.remove(entry.getKey());
            }
        }
        return due;
    }

    /** A probe in flight. */
    static final class Probe {
        final long mTarget;
        final long mSentNanos;
        final long mRequester;
        final long mRequesterSequence;

        /** Attempts made, the first included. */
        int mAttempts = 1;

        private Probe(long target, long sentNanos, long requester, long requesterSequence) {
            mTarget = target;
            mSentNanos = sentNanos;
            mRequester = requester;
            mRequesterSequence = requesterSequence;
        }

        private long deadlineNanos() {
            int attempts = mRequester == 0 ? mAttempts : MAX_ATTEMPTS;
            return mSentNanos + attempts * ATTEMPT_TIMEOUT_NANOS;
        }
    }
}
