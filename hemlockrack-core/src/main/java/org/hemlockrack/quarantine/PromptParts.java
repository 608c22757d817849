package org.hemlockrack.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.hemlockrack.dispatch.PromptHash;
import org.jspecify.annotations.Nullable;

/**
 * Names of the parts of one prompt.
 *
 * @param shared names of the parts that other requests may share, in order, without repetitions
 * @param own name of the last part, which belongs to the request itself or to its session, or null
 *     if the prompt has no parts
 */
public record PromptParts(List<String> shared, @Nullable String own) {
    /** Parts of one prompt that are looked at; bounds what a request can make instances store. */
    private static final int MAX_PARTS = 64;

    /** Longest id that is used as the name of a part; longer ones are hashed. */
    private static final int MAX_NAME_CHARS = 40;

    /** Copies the list. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /**
     * Names the parts of a prompt.
     *
     * @param partIds ids of all parts, in order
     * @return the names
     */
    public static PromptParts of(List<String> partIds) {
        if (partIds.isEmpty()) {
            return new PromptParts(List.of(), null);
        }
        int last = partIds.size() - 1;
        Set<String> names = new LinkedHashSet<>();
        for (String partId : partIds.subList(0, Math.min(last, MAX_PARTS))) {
            names.add(nameOf(partId));
        }
        return new PromptParts(List.copyOf(names), nameOf(partIds.get(last)));
    }

    /** Returns the names of all parts. */
    public List<String> all() {
        return own == null ? shared : Stream.concat(shared.stream(), Stream.of(own)).toList();
    }

    private static String nameOf(String partId) {
        return partId.length() <= MAX_NAME_CHARS
                ? partId
                : "hash-" + Long.toHexString(PromptHash.of(partId));
    }
}
