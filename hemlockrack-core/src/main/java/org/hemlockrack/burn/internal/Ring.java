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
 * Good and bad counts in the latest buckets of fixed width. Buckets are aligned to the epoch, so
 * rings of several instances add up. Counts stay at {@link Integer#MAX_VALUE} once they reach it.
 */
final class Ring {
    /** Kind of good requests; kind 1 + n are the bad ones of the cause with ordinal n. */
    static final int GOOD = 0;

    static final int KINDS = 1 + BurnCause.values().length;

    private static final int[] NONE = {};

    private final Resolution mResolution;
    private final int[][] mCounts = new int[KINDS][];
    private long mHead = Long.MIN_VALUE;

    private Ring(Resolution resolution) {
        mResolution = resolution;
        Arrays.fill(mCounts, NONE);
    }

    static Ring of(Resolution resolution) {
        return new Ring(resolution);
    }

    void add(long bucket, int kind, int count) {
        moveTo(bucket);
        if (!holds(bucket)) {
            return;
        }
        if (mCounts[kind].length == 0) {
            mCounts[kind] = new int[mResolution.buckets()];
        }
        int slot = slot(bucket);
        long sum = (long) mCounts[kind][slot] + count;
        mCounts[kind][slot] = (int) Math.min(Integer.MAX_VALUE, sum);
    }

    long count(int kind, long bucket) {
        return mCounts[kind].length == 0 || !holds(bucket) ? 0 : mCounts[kind][slot(bucket)];
    }

    long sum(int kind, long fromBucket, long toBucket) {
        long sum = 0;
        for (long bucket = fromBucket; bucket <= toBucket; bucket++) {
            sum += count(kind, bucket);
        }
        return sum;
    }

    void merge(Ring other) {
        if (other.mHead == Long.MIN_VALUE) {
            return;
        }
        moveTo(other.mHead);
        for (int kind = 0; kind < KINDS; kind++) {
            for (long bucket = other.oldest(); bucket <= other.mHead; bucket++) {
                int count = (int) other.count(kind, bucket);
                if (count > 0) {
                    add(bucket, kind, count);
                }
            }
        }
    }

    BurnRingData toData() {
        List<BurnCountsData> all = new ArrayList<>();
        for (int kind = 0; kind < KINDS; kind++) {
            if (mCounts[kind].length > 0) {
                addData(kind, all);
            }
        }
        return new BurnRingData(mHead, all);
    }

    static Ring fromData(Resolution resolution, BurnRingData data) {
        Ring ring = of(resolution);
        if (data.getHeadBucket() == Long.MIN_VALUE) {
            return ring;
        }
        ring.moveTo(bounded(data.getHeadBucket()));
        for (BurnCountsData each : StructCodec.require("counts", data.getCounts())) {
            List<Integer> counts = StructCodec.require("counts", each.getCounts());
            if (each.getKind() < 0
                    || each.getKind() >= KINDS
                    || counts.size() > resolution.buckets()) {
                throw malformed("unknown kind or too many buckets");
            }
            long bucket = bounded(each.getFirstBucket());
            if (bucket + counts.size() - 1 > ring.mHead) {
                throw malformed("a bucket after the last");
            }
            for (int count : counts) {
                if (count < 0) {
                    throw malformed("a count below 0");
                }
                ring.add(bucket++, each.getKind(), count);
            }
        }
        return ring;
    }

    private void addData(int kind, List<BurnCountsData> all) {
        long first = oldest();
        while (first <= mHead && count(kind, first) == 0) {
            first++;
        }
        long last = mHead;
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

    private void moveTo(long bucket) {
        if (bucket <= mHead) {
            return;
        }
        long first = mHead == Long.MIN_VALUE ? bucket : mHead + 1;
        first = Math.max(first, bucket - mResolution.buckets() + 1);
        mHead = bucket;
        for (int[] counts : mCounts) {
            for (long each = first; counts.length > 0 && each <= bucket; each++) {
                counts[slot(each)] = 0;
            }
        }
    }

    private boolean holds(long bucket) {
        return mHead != Long.MIN_VALUE && bucket <= mHead && bucket >= oldest();
    }

    private long oldest() {
        return mHead - mResolution.buckets() + 1;
    }

    private int slot(long bucket) {
        return (int) Math.floorMod(bucket, (long) mResolution.buckets());
    }

    private static long bounded(long bucket) {
        if (Math.abs(bucket) > 1L << 40) {
            throw malformed("a bucket far from the epoch");
        }
        return bucket;
    }

    private static HemlockrackException malformed(String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST,
                String.format(ErrorText.STRUCT_MALFORMED, "burn counts", reason));
    }
}
