package org.hemlockrack.burn.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hemlockrack.burn.BurnCause;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.BurnCountsData;
import org.hemlockrack.wire.BurnRingData;

/**
 * Ring buffer with the counts of the newest buckets of fixed width, by kind: good requests and bad
 * ones of each cause. Buckets are aligned to the epoch, so that the rings of several instances can
 * be added. Counts saturate at {@link Integer#MAX_VALUE}.
 */
final class BucketRing {
    /** Kind of the good requests. Kind 1 + n are the bad ones whose cause has ordinal n. */
    static final int GOOD = 0;

    static final int KIND_COUNT = 1 + BurnCause.values().length;

    private static final int[] EMPTY = {};

    private final Resolution mResolution;
    private final int[][] mCounts = new int[KIND_COUNT][];
    private long mNewestBucket = Long.MIN_VALUE;

    private BucketRing(Resolution resolution) {
        mResolution = resolution;
        Arrays.fill(mCounts, EMPTY);
    }

    static BucketRing of(Resolution resolution) {
        return new BucketRing(resolution);
    }

    /** Adds to a bucket; ignored if the bucket is older than the ring reaches. */
    void add(long bucket, int kind, int count) {
        advanceTo(bucket);
        if (!isInRange(bucket)) {
            return;
        }
        if (mCounts[kind].length == 0) {
            mCounts[kind] = new int[mResolution.bucketCount()];
        }
        int slot = slotOf(bucket);
        long sum = (long) mCounts[kind][slot] + count;
        mCounts[kind][slot] = (int) Math.min(Integer.MAX_VALUE, sum);
    }

    long count(int kind, long bucket) {
        return mCounts[kind].length == 0 || !isInRange(bucket) ? 0 : mCounts[kind][slotOf(bucket)];
    }

    long sum(int kind, long fromBucket, long toBucket) {
        long sum = 0;
        for (long bucket = fromBucket; bucket <= toBucket; bucket++) {
            sum += count(kind, bucket);
        }
        return sum;
    }

    /** Adds the counts of another ring of the same resolution. */
    void merge(BucketRing other) {
        if (other.mNewestBucket == Long.MIN_VALUE) {
            return;
        }
        advanceTo(other.mNewestBucket);
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            for (long bucket = other.oldestBucket(); bucket <= other.mNewestBucket; bucket++) {
                int count = (int) other.count(kind, bucket);
                if (count > 0) {
                    add(bucket, kind, count);
                }
            }
        }
    }

    BurnRingData toData() {
        List<BurnCountsData> all = new ArrayList<>();
        for (int kind = 0; kind < KIND_COUNT; kind++) {
            if (mCounts[kind].length > 0) {
                addKindData(kind, all);
            }
        }
        return new BurnRingData(mNewestBucket, all);
    }

    static BucketRing fromData(Resolution resolution, BurnRingData data) {
        BucketRing ring = of(resolution);
        if (data.getHeadBucket() == Long.MIN_VALUE) {
            return ring;
        }
        ring.advanceTo(requireInRange(data.getHeadBucket()));
        for (BurnCountsData each : StructCodec.require("counts", data.getCounts())) {
            List<Integer> counts = StructCodec.require("counts", each.getCounts());
            if (each.getKind() < 0
                    || each.getKind() >= KIND_COUNT
                    || counts.size() > resolution.bucketCount()) {
                throw malformed("unknown kind or too many buckets");
            }
            long bucket = requireInRange(each.getFirstBucket());
            if (bucket + counts.size() - 1 > ring.mNewestBucket) {
                throw malformed("bucket after the newest one");
            }
            for (int count : counts) {
                if (count < 0) {
                    throw malformed("negative count");
                }
                ring.add(bucket++, each.getKind(), count);
            }
        }
        return ring;
    }

    /** Adds the struct of one kind without leading and trailing zeros; none if all are zero. */
    private void addKindData(int kind, List<BurnCountsData> all) {
        long first = oldestBucket();
        while (first <= mNewestBucket && count(kind, first) == 0) {
            first++;
        }
        long last = mNewestBucket;
        while (last >= first && count(kind, last) == 0) {
            last--;
        }
        if (last < first) {
            return;
        }
        List<Integer> counts = new ArrayList<>();
        for (long bucket = first; bucket <= last; bucket++) {
            counts.add((int) count(kind, bucket));
        }
        all.add(new BurnCountsData(kind, first, counts));
    }

    /** Makes a bucket the newest one and clears the buckets that are reused; no-op if older. */
    private void advanceTo(long bucket) {
        if (bucket <= mNewestBucket) {
            return;
        }
        long first = mNewestBucket == Long.MIN_VALUE ? bucket : mNewestBucket + 1;
        first = Math.max(first, bucket - mResolution.bucketCount() + 1);
        mNewestBucket = bucket;
        for (int[] counts : mCounts) {
            for (long each = first; counts.length > 0 && each <= bucket; each++) {
                counts[slotOf(each)] = 0;
            }
        }
    }

    private boolean isInRange(long bucket) {
        return mNewestBucket != Long.MIN_VALUE
                && bucket <= mNewestBucket
                && bucket >= oldestBucket();
    }

    private long oldestBucket() {
        return mNewestBucket - mResolution.bucketCount() + 1;
    }

    private int slotOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) mResolution.bucketCount());
    }

    /** Rejects bucket numbers so large that arithmetic with them could overflow. */
    private static long requireInRange(long bucket) {
        if (Math.abs(bucket) > 1L << 40) {
            throw malformed("bucket number out of range");
        }
        return bucket;
    }

    private static HemlockrackException malformed(String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST,
                String.format(ErrorText.STRUCT_MALFORMED, "burn counts", reason));
    }
}
