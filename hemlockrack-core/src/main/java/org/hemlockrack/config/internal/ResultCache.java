package org.hemlockrack.config.internal;

import com.google.common.hash.HashCode;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.config.ConfigResult;
import org.hemlockrack.config.ValidationError;
import org.jspecify.annotations.Nullable;

/** Cache of results by request id; evicts the oldest above a limit in count or size. */
public final class ResultCache {
    /** Approximate overhead of an entry beside its texts. */
    private static final int FIXED_CHARS = 200;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final int mMaxEntries;
    private final long mMaxChars;
    private long mChars;

    /**
     * One cached result.
     *
     * @param requestId request id of the command
     * @param commandHash hash of the encoded command, which distinguishes a retry from another
     *     command with the same request id
     * @param result result of the first attempt
     */
    public record Entry(String requestId, HashCode commandHash, ConfigResult result) {
        long sizeChars() {
            long chars = FIXED_CHARS + requestId.length() + result.message().length();
            for (ValidationError error : result.errors()) {
                chars += error.path().length() + error.found().length() + error.allowed().length();
            }
            return chars;
        }
    }

    private ResultCache(int maxEntries, long maxChars) {
        mMaxEntries = maxEntries;
        mMaxChars = maxChars;
    }

    /**
     * Creates an empty cache.
     *
     * @param maxEntries most results
     * @param maxChars most characters of all results
     * @return the cache
     */
    public static ResultCache of(int maxEntries, long maxChars) {
        return new ResultCache(maxEntries, maxChars);
    }

    /**
     * Finds a result.
     *
     * @param requestId request id
     * @return the entry, or null if there is none
     */
    public @Nullable Entry find(String requestId) {
        return mEntries.get(requestId);
    }

    /**
     * Adds a result and evicts the oldest ones above the limits.
     *
     * @param entry the entry; its request id is not in the cache
     */
    public void add(Entry entry) {
        mEntries.put(entry.requestId(), entry);
        mChars += entry.sizeChars();
        Iterator<Entry> oldest = mEntries.values().iterator();
        while (mEntries.size() > mMaxEntries || mChars > mMaxChars) {
            mChars -= oldest.next().sizeChars();
            oldest.remove();
        }
    }

    /** Removes all entries. */
    public void clear() {
        mEntries.clear();
        mChars = 0;
    }

    /** Returns the entries, oldest first. */
    public Collection<Entry> entries() {
        return mEntries.values();
    }
}
