package org.hemlockrack.placement.internal;

/**
 * Stable 64-bit hash functions. Placement on all instances depends on them: don't change values.
 */
final class StableHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final double UNIT = 0x1.0p-53;

    private StableHash() {}

    /** Finalizer of SplitMix64: each input bit changes each output bit with probability 1/2. */
    static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    static long hash(String text) {
        long h = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(h);
    }

    /** Maps a mixed value to the open interval (0, 1). */
    static double toUnitInterval(long mixed) {
        return ((mixed >>> 12) + 0.5) * 2 * UNIT;
    }
}
