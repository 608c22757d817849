package org.hemlockrack.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Hashes that rank servers for prompt parts, the same on all gateways. */
public final class PromptHash {
    private PromptHash() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return 64 bits
     */
    public static long of(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Hashes the parts that requests share; the last part is the request's own.
     *
     * @param parts ids of all parts of a prompt, in order
     * @return the hash, 0 if nothing is shared
     */
    public static long ofSharedPrefix(List<String> parts) {
        if (parts.size() < 2) {
            return 0;
        }
        long hash = of(parts.get(parts.size() - 2));
        return hash == 0 ? 1 : hash;
    }

    /**
     * Returns a number from 0 to below 1 that a text always gives.
     *
     * @param text the text
     * @return the number
     */
    public static double toUnitInterval(String text) {
        return (of(text) >>> 11) * 0x1.0p-53;
    }

    static long combine(long first, long second) {
        return Hashing.murmur3_128().newHasher().putLong(first).putLong(second).hash().asLong();
    }
}
