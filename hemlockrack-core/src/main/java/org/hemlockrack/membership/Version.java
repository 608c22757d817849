package org.hemlockrack.membership;

import java.util.Comparator;

/**
 * Version of one entry; of two states of an entry, the one with the higher version is newer.
 *
 * @param epoch increases when the instance or server that the entry describes restarts; for a fact
 *     its version
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
