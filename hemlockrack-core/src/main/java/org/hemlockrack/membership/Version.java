package org.hemlockrack.membership;

import java.util.Comparator;

/**
 * Orders the news about one entry.
 *
 * @param epoch changes when the subject restarts; for a fact its version
 * @param counter increases with each change within the epoch
 */
public record Version(long epoch, long counter) implements Comparable<Version> {
    private static final Comparator<Version> ORDER =
            Comparator.comparingLong(Version::epoch).thenComparingLong(Version::counter);

    /**
     * Creates a version.
     *
     * @param epoch the epoch
     * @param counter the counter
     * @return the version
     */
    public static Version of(long epoch, long counter) {
        return new Version(epoch, counter);
    }

    /** Returns the next version in the same epoch. */
    public Version next() {
        return new Version(epoch, counter + 1);
    }

    @Override
    public int compareTo(Version other) {
        return ORDER.compare(this, other);
    }
}
