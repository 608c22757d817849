package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.membership.Version;
import org.jspecify.annotations.Nullable;

/**
 * Digests of the versions of all entries. Entries are assigned to buckets by their short ids, and
 * the digests are updated incrementally.
 */
final class BucketDigests {
    /**
     * Number of buckets. With 1,220 entries a bucket has 19 of them, whose versions take about 350
     * bytes.
     */
    static final int BUCKETS = 64;

    private final int[] mBuckets = new int[BUCKETS];
    private final List<Map<Long, Version>> mEntries = new ArrayList<>();

    BucketDigests() {
        for (int i = 0; i < BUCKETS; i++) {
            mEntries.add(new HashMap<>());
        }
    }

    static int bucketOf(long shortId) {
        return (int) (shortId & (BUCKETS - 1));
    }

    /** Sets the version of an entry; null removes it. */
    void put(long shortId, @Nullable Version version) {
        int bucket = bucketOf(shortId);
        Map<Long, Version> entries = mEntries.get(bucket);
        Version oldVersion =
                version == null ? entries.remove(shortId) : entries.put(shortId, version);
        if (oldVersion != null) {
            mBuckets[bucket] ^= hashEntry(shortId, oldVersion);
        }
        if (version != null) {
            mBuckets[bucket] ^= hashEntry(shortId, version);
        }
    }

    /** Returns the digest over all buckets. */
    long root() {
        long root = 1;
        for (int bucket : mBuckets) {
            root = root * 0x9E3779B97F4A7C15L + bucket;
        }
        return root >>> 16;
    }

    /**
     * Returns a digest of 16 bits for each bucket, which takes 3 bytes on the wire instead of 5.
     * The salt changes with each message, so that two buckets with equal digests by chance differ
     * the next time.
     */
    List<Integer> buckets(long salt) {
        List<Integer> copy = new ArrayList<>();
        for (int i = 0; i < BUCKETS; i++) {
            copy.add(bucket(i, salt));
        }
        return copy;
    }

    /** Returns the digest of a bucket, 16 bits, 0 only if the bucket is empty. */
    int bucket(int index, long salt) {
        if (mEntries.get(index).isEmpty()) {
            return 0;
        }
        long hash = (mBuckets[index] ^ salt * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        return Math.max(1, (int) (hash >>> 48));
    }

    Map<Long, Version> entries(int index) {
        return mEntries.get(index);
    }

    private static int hashEntry(long shortId, Version version) {
        long hash = shortId * 0x9E3779B97F4A7C15L;
        hash = (hash ^ (hash >>> 29) ^ version.epoch()) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 31) ^ version.counter()) * 0x94D049BB133111EBL;
        return (int) (hash >>> 32);
    }
}
