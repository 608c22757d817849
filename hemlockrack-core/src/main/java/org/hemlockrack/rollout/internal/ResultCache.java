package org.hemlockrack.rollout.internal;

import com.google.common.hash.HashCode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.rollout.RolloutResult;
import org.jspecify.annotations.Nullable;

/** First results of commands by request id. The oldest entry is evicted when there are too many. */
public final class ResultCache {
    /** More than the number of commands in a day at the projected fleet size. */
    private static final int MAX_ENTRIES = 2_000;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    /**
     * The stored result of one command.
     *
     * @param requestId request id of the command
     * @param commandHash hash of the command
     * @param result its first result
     */
    public record Entry(String requestId, HashCode commandHash, RolloutResult result) {}

    private ResultCache() {}

    /** Creates an empty cache. */
    public static ResultCache create() {
        return new ResultCache();
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
     * Adds a result.
     *
     * @param entry the entry
     */
    public void add(Entry entry) {
        mEntries.put(entry.requestId(), entry);
        if (mEntries.size() > MAX_ENTRIES) {
            mEntries.remove(mEntries.keySet().iterator().next());
        }
    }

    /** Returns the entries, oldest first. */
    public Collection<Entry> entries() {
        return mEntries.values();
    }
}
