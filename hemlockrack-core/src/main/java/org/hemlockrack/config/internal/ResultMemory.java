package org.hemlockrack.config.internal;

import com.google.common.hash.HashCode;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.config.ConfigResult;
import org.hemlockrack.config.ValidationError;
import org.jspecify.annotations.Nullable;

/** Results by request id; forgets the oldest when a count or size is exceeded. */
public final class ResultMemory {
    private static final int FIXED_CHARS = 200;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();
    private final int mMaxEntries;
    private final long mMaxChars;
    private long mChars;

    /**
     * One remembered result.
     *
     * @param requestId request id of the command
     * @param commandHash hash of the command
     * @param result its first result
     */
    public record Entry(String requestId, HashCode commandHash, ConfigResult result) {
        long sizeChars() {
            long chars = FIXED_CHARS + requestId.length() + result.message().length();
            for (ValidationError fault : result.errors()) {
                chars += fault.path().length() + fault.found().length() + fault.allowed().length();
            }
            return chars;
        }
    }

    private ResultMemory(int maxEntries, long maxChars) {
        mMaxEntries = maxEntries;
        mMaxChars = maxChars;
    }

    /**
     * Creates an empty memory.
     *
     * @param maxEntries most results
     * @param maxChars most characters of all results
     * @return the memory
     */
    public static ResultMemory of(int maxEntries, long maxChars) {
        return new ResultMemory(maxEntries, maxChars);
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
     * Adds a result and forgets the oldest ones above the bounds.
     *
     * @param entry the entry; its request id is not in the memory
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

    /** Forgets everything. */
    public void clear() {
        mEntries.clear();
        mChars = 0;
    }

    /** Returns the entries from the oldest on. */
    public Collection<Entry> entries() {
        return mEntries.values();
    }
}
