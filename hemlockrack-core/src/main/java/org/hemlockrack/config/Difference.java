package org.hemlockrack.config;

import java.util.List;
import java.util.Optional;
import org.hemlockrack.config.internal.KeyPath;

/**
 * One key or table that differs between two versions.
 *
 * @param segments keys from the root
 * @param before value before as JSON, empty if the key was absent
 * @param after value after as JSON, empty if the key is absent
 */
public record Difference(List<String> segments, Optional<String> before, Optional<String> after) {
    /** Copies the list. */
    public Difference {
        segments = List.copyOf(segments);
    }

    /** Returns the key path in the syntax of TOML dotted keys. */
    public String path() {
        return KeyPath.join(segments);
    }

    /** Returns the approximate memory of the difference, in characters. */
    public int sizeChars() {
        int chars = before.map(String::length).orElse(0) + after.map(String::length).orElse(0);
        for (String segment : segments) {
            chars += segment.length();
        }
        return chars;
    }

    @Override
    public String toString() {
        return path() + ": " + before.orElse("(absent)") + " -> " + after.orElse("(absent)");
    }
}
