package org.hemlockrack.claims.internal;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimLimits;
import org.jspecify.annotations.Nullable;

/**
 * Claims in the order of their stamps, with bounds. Half of the bytes is kept for the claims
 * themselves, so that recorded answers never use up the room for new claims.
 */
public final class ClaimTable {
    /** Heap bytes of a claim beside its key and answer, measured by ConfigBench. */
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
     * Returns whether another claim fits.
     *
     * @param key key of the claim
     * @param limits the bounds
     * @return whether count and bytes allow it
     */
    public boolean hasRoom(ClaimKey key, ClaimLimits limits) {
        return mClaims.size() < limits.maxClaims()
                && mClaimBytes + fixedBytes(key) <= limits.maxBytes() / 2;
    }

    /**
     * Returns whether an answer fits.
     *
     * @param bytes bytes of the answer
     * @param limits the bounds
     * @return whether the bounds of one answer and of all answers allow it
     */
    public boolean hasRoomForAnswer(int bytes, ClaimLimits limits) {
        return bytes <= limits.maxAnswerBytes() && mAnswerBytes + bytes <= limits.maxBytes() / 2;
    }

    /**
     * Adds or replaces a claim as the one with the latest stamp.
     *
     * @param key the key
     * @param claim the claim, its stamp not below any other
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
            subtract(key, removed);
        }
    }

    /**
     * Removes the claims whose last change is too old.
     *
     * @param oldestMillis stamps up to this one expire
     */
    public void expire(long oldestMillis) {
        Iterator<Map.Entry<ClaimKey, Claim>> oldest = mClaims.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimKey, Claim> entry = oldest.next();
            if (entry.getValue().stampMillis() > oldestMillis) {
                return;
            }
            oldest.remove();
            subtract(entry.getKey(), entry.getValue());
        }
    }

    /** Returns the claims in the order of their stamps. */
    public Map<ClaimKey, Claim> claims() {
        return mClaims;
    }

    /** Returns the bytes counted for all claims and answers. */
    public long totalBytes() {
        return mClaimBytes + mAnswerBytes;
    }

    private void subtract(ClaimKey key, Claim claim) {
        mClaimBytes -= fixedBytes(key);
        mAnswerBytes -= claim.answerBytes();
    }

    private static long fixedBytes(ClaimKey key) {
        return FIXED_BYTES + key.key().length();
    }
}
