package org.hemlockrack.membership.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * 48-bit hashes that replace names on the wire.
 *
 * <p>With 2,000 names the probability of a collision is 7 in 10^9. Numbers negotiated per
 * connection would be shorter, but need state that is lost with one-way messages. A hash takes 7
 * bytes in the compact protocol.
 */
public final class ShortIds {
    private static final int DROPPED_BITS = 16;

    private ShortIds() {}

    /** Returns the short id of an instance. */
    public static long member(String id) {
        return hash("m\n" + id);
    }

    /** Returns the short id of a backend server. */
    public static long backend(String id) {
        return hash("b\n" + id);
    }

    /** Returns the short id of a fact. */
    public static long fact(String key) {
        return hash("f\n" + key);
    }

    private static long hash(String text) {
        long full = Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
        return full >>> DROPPED_BITS;
    }
}
