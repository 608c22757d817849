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

/** The counts of one workspace and promise at all resolutions. */
public final class Series {
    private final Ring[] mRings = new Ring[Resolution.values().length];

    private Series() {
        for (Resolution each : Resolution.values()) {
            mRings[each.ordinal()] = Ring.of(each);
        }
    }

    /** Returns a series without counts. */
    public static Series create() {
        return new Series();
    }

    /**
     * Counts a request.
     *
     * @param nowMillis milliseconds since the epoch
     * @param cause what made it miss the promise; null if it kept it
     */
    public void add(long nowMillis, @Nullable BurnCause cause) {
        int kind = cause == null ? Ring.GOOD : kind(cause);
        for (Resolution each : Resolution.values()) {
            mRings[each.ordinal()].add(each.bucket(nowMillis), kind, 1);
        }
    }

    /**
     * Adds another series.
     *
     * @param other the other one
     */
    public void merge(Series other) {
        for (int i = 0; i < mRings.length; i++) {
            mRings[i].merge(other.mRings[i]);
        }
    }

    /**
     * Returns the counts over a window. The oldest bucket is counted whole, so up to one bucket
     * width more than the window is covered.
     *
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window
     * @return the counts
     */
    public BurnCounts counts(long nowMillis, long windowMillis) {
        long bad = 0;
        for (BurnCause cause : BurnCause.values()) {
            bad += sum(kind(cause), nowMillis, windowMillis);
        }
        return new BurnCounts(sum(Ring.GOOD, nowMillis, windowMillis), bad);
    }

    /**
     * Returns the bad requests of a cause over a window.
     *
     * @param cause the cause
     * @param nowMillis end of the window, milliseconds since the epoch
     * @param windowMillis length of the window
     * @return the number
     */
    public long bad(BurnCause cause, long nowMillis, long windowMillis) {
        return sum(kind(cause), nowMillis, windowMillis);
    }

    /**
     * Returns the counts of one clock hour.
     *
     * @param millis a time within the hour, milliseconds since the epoch
     * @return the counts
     */
    public BurnCounts hour(long millis) {
        Ring ring = mRings[Resolution.HOUR.ordinal()];
        long bucket = Resolution.HOUR.bucket(millis);
        long bad = 0;
        for (BurnCause cause : BurnCause.values()) {
            bad += ring.count(kind(cause), bucket);
        }
        return new BurnCounts(ring.count(Ring.GOOD, bucket), bad);
    }

    /** Turns the series into structs, one for each resolution. */
    public List<BurnRingData> toData() {
        List<BurnRingData> rings = new ArrayList<>();
        for (Ring ring : mRings) {
            rings.add(ring.toData());
        }
        return rings;
    }

    /**
     * Turns structs into a series.
     *
     * @param data the structs, null if the sender did not set them
     * @return the series
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static Series fromData(@Nullable List<BurnRingData> data) {
        List<BurnRingData> rings = StructCodec.require("rings", data);
        if (rings.size() != Resolution.values().length) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.STRUCT_MALFORMED, "burn series", "rings"));
        }
        Series series = create();
        for (Resolution each : Resolution.values()) {
            series.mRings[each.ordinal()] = Ring.fromData(each, rings.get(each.ordinal()));
        }
        return series;
    }

    private long sum(int kind, long nowMillis, long windowMillis) {
        Resolution resolution = Resolution.of(windowMillis);
        long to = resolution.bucket(nowMillis);
        long from = to - windowMillis / resolution.widthMillis();
        return mRings[resolution.ordinal()].sum(kind, from, to);
    }

    private static int kind(BurnCause cause) {
        return 1 + cause.ordinal();
    }
}
