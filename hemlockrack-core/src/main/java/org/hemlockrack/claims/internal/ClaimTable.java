package org.hemlockrack.claims.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimLimits;
import org.jspecify.annotations.Nullable;

/**
 * Claims in the order of their last change, with their memory accounted. Half of the allowed bytes
 * is reserved for the claims themselves, so that recorded answers cannot prevent new claims.
 */
public final class ClaimTable {
    /** Heap bytes of a claim without its key and answer. */
    public static final int FIXED_BYTES = 450;

    private final Map<ClaimKey, Claim> mClaims = new LinkedHashMap<>();
    private long mClaimBytes;
    private long mAnswerBytes;

    private ClaimTable() {}

    /** Returns an empty table. */
    public static ClaimTable create() {
        return new ClaimTable();
    }

    /**
     * Finds a claim.
     *
     * @param key the key
     * @return the claim, or null if there is none
     */
    public @Nullable Claim find(ClaimKey key) {
        return mClaims.get(key);
    }

    /**
     * Returns whether a new claim is within the limits.
     *
     * @param key key of the claim
     * @param limits the limits
     * @return whether both the number and the bytes of claims allow it
     */
    public boolean hasRoomForClaim(ClaimKey key, ClaimLimits limits) {
        return mClaims.size() < limits.maxClaims()
                && mClaimBytes + fixedBytes(key) <= limits.maxBytes() / 2;
    }

    /**
     * Returns whether a new answer is within the limits.
     *
     * @param bytes size of the answer
     * @param limits the limits
     * @return whether the limits of one answer and of all answers allow it
     */
    public boolean hasRoomForAnswer(int bytes, ClaimLimits limits) {
        return bytes <= limits.maxAnswerBytes() && mAnswerBytes + bytes <= limits.maxBytes() / 2;
    }

    /**
     * Adds or replaces a claim as the most recently changed one.
     *
     * @param key the key
     * @param claim the claim; its last change must not be before that of any other claim
     */
    public void put(ClaimKey key, Claim claim) {
        remove(key);
        mClaims.put(key, claim);
        mClaimBytes += fixedBytes(key);
        mAnswerBytes += claim.answerBytes();
    }

    /**
     * Removes a claim if there is one.
     *
     * @param key the key
     */
    public void remove(ClaimKey key) {
        Claim removed = mClaims.remove(key);
        if (removed != null) {
            subtractBytes(key, removed);
        }
    }

    /**
     * Removes expired claims.
     *
     * @param oldestMillis claims last changed at or before this leader time are removed
     */
    public void removeExpired(long oldestMillis) {
        Iterator<Map.Entry<ClaimKey, Claim>> oldest = mClaims.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimKey, Claim> entry = oldest.next();
            if (entry.getValue().lastChangeMillis() > oldestMillis) {
                return;
            }
            oldest.remove();
            subtractBytes(entry.getKey(), entry.getValue());
        }
    }

    /** Returns the claims in the order of their last change, the oldest first. */
    public Map<ClaimKey, Claim> claims() {
        return mClaims;
    }

    /** Returns the bytes accounted for all claims and answers. */
    public long totalBytes() {
        return mClaimBytes + mAnswerBytes;
    }

    private void subtractBytes(ClaimKey key, Claim claim) {
        mClaimBytes -= fixedBytes(key);
        mAnswerBytes -= claim.answerBytes();
    }

    private static long fixedBytes(ClaimKey key) {
        return FIXED_BYTES + key.key().length();
    }
}
