package org.hemlockrack.burn.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.burn.BurnCause;
import org.hemlockrack.burn.BurnCounts;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.BurnRingData;
import org.jspecify.annotations.Nullable;

/** The counts of one workspace and indicator at all resolutions. */
public final class BurnSeries {
    private final BucketRing[] mRings = new BucketRing[Resolution.values().length];

    private BurnSeries() {
        for (Resolution each : Resolution.values()) {
            mRings[each.ordinal()] = BucketRing.of(each);
        }
    }

    /** Returns an empty series. */
    public static BurnSeries create() {
        return new BurnSeries();
    }

    /**
     * Counts a request.
     *
     * @param nowMillis milliseconds since the epoch
     * @param cause why the request missed the objective; null if it met it
     */
    public void add(long nowMillis, @Nullable BurnCause cause) {
        int kind = cause == null ? BucketRing.GOOD : kindOf(cause);
        for (Resolution each : Resolution.values()) {
            mRings[each.ordinal()].add(each.bucketOf(nowMillis), kind, 1);
        }
    }

    /**
     * Adds the counts of another series.
     *
     * @param other the series to add; not modified
     */
    public void merge(BurnSeries other) {
        for (int i = 0; i < mRings.length; i++) {
            mRings[i].merge(other.mRings[i]);
        }
    }

    /**
     * Returns the counts over a window. The oldest bucket is included as a whole, so the counts
     * cover up to one bucket width more than the window.
     *
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window
     * @return the counts
     */
    public BurnCounts counts(long nowMillis, long windowMillis) {
        long bad = 0;
        for (BurnCause cause : BurnCause.values()) {
            bad += sum(kindOf(cause), nowMillis, windowMillis);
        }
        return new BurnCounts(sum(BucketRing.GOOD, nowMillis, windowMillis), bad);
    }

    /**
     * Returns the misses with a given cause over a window.
     *
     * @param cause the cause
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window
     * @return the number
     */
    public long misses(BurnCause cause, long nowMillis, long windowMillis) {
        return sum(kindOf(cause), nowMillis, windowMillis);
    }

    /**
     * Returns the counts of one clock hour.
     *
     * @param millis a time within the hour, milliseconds since the epoch
     * @return the counts
     */
    public BurnCounts hourCounts(long millis) {
        BucketRing ring = mRings[Resolution.HOUR.ordinal()];
        long bucket = Resolution.HOUR.bucketOf(millis);
        long bad = 0;
        for (BurnCause cause : BurnCause.values()) {
            bad += ring.count(kindOf(cause), bucket);
        }
        return new BurnCounts(ring.count(BucketRing.GOOD, bucket), bad);
    }

    /** Converts the series to structs, one for each resolution. */
    public List<BurnRingData> toData() {
        List<BurnRingData> rings = new ArrayList<>();
        for (BucketRing ring : mRings) {
            rings.add(ring.toData());
        }
        return rings;
    }

    /**
     * Converts structs to a series.
     *
     * @param data the structs, null if the sender did not set them
     * @return the series
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static BurnSeries fromData(@Nullable List<BurnRingData> data) {
        List<BurnRingData> rings = StructCodec.require("rings", data);
        if (rings.size() != Resolution.values().length) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.STRUCT_MALFORMED, "burn series", "rings"));
        }
        BurnSeries series = create();
        for (Resolution each : Resolution.values()) {
            series.mRings[each.ordinal()] = BucketRing.fromData(each, rings.get(each.ordinal()));
        }
        return series;
    }

    private long sum(int kind, long nowMillis, long windowMillis) {
        Resolution resolution = Resolution.finestCovering(windowMillis);
        long to = resolution.bucketOf(nowMillis);
        long from = to - windowMillis / resolution.widthMillis();
        return mRings[resolution.ordinal()].sum(kind, from, to);
    }

    private static int kindOf(BurnCause cause) {
        return 1 + cause.ordinal();
    }
}
