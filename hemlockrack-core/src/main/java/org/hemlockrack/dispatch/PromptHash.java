package org.hemlockrack.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Hash functions for prompts and server ids; every gateway computes the same values. */
public final class PromptHash {
    private PromptHash() {}

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return the 64-bit hash
     */
    public static long of(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Hashes the last part of a prompt that other requests can share: the last but one, since the
     * last part is unique to the request.
     *
     * @param parts ids of all parts of a prompt, in order
     * @return the hash, or 0 if the prompt has fewer than two parts
     */
    public static long ofSharedPrefix(List<String> parts) {
        if (parts.size() < 2) {
            return 0;
        }
        long hash = of(parts.get(parts.size() - 2));
        return hash == 0 ? 1 : hash;
    }

    /**
     * Maps a text to a number in [0, 1); equal texts give equal numbers.
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
