package org.hemlockrack.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hemlockrack.dispatch.PromptHash;

/** Names of the prompt parts that other requests may share. */
public final class PromptParts {
    /** Parts of one prompt that are looked at; bounds what a request can make instances store. */
    private static final int MAX_PARTS = 64;

    /** Longest id that is used as the name of a part; longer ones are hashed. */
    private static final int MAX_NAME_CHARS = 40;

    private PromptParts() {}

    /**
     * Returns the names of the parts that other requests may share.
     *
     * @param partIds ids of all parts of a prompt, in order; the last part is unique to the request
     * @return the names in order, without repetitions
     */
    public static List<String> shared(List<String> partIds) {
        Set<String> names = new LinkedHashSet<>();
        int end = Math.min(partIds.size() - 1, MAX_PARTS);
        for (int i = 0; i < end; i++) {
            names.add(nameOf(partIds.get(i)));
        }
        return List.copyOf(names);
    }

    private static String nameOf(String partId) {
        return partId.length() <= MAX_NAME_CHARS
                ? partId
                : "hash-" + Long.toHexString(PromptHash.of(partId));
    }
}
