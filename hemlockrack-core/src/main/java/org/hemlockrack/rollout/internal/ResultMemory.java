package org.hemlockrack.rollout.internal;

import com.google.common.hash.HashCode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.rollout.RolloutResult;
import org.jspecify.annotations.Nullable;

/** First results by request id; forgets the oldest above a number of entries. */
public final class ResultMemory {
    /** More than the commands of a day at the projected size. */
    private static final int MAX_ENTRIES = 2_000;

    private final Map<String, Entry> mEntries = new LinkedHashMap<>();

    /**
     * One remembered result.
     *
     * @param requestId request id of the command
     * @param commandHash hash of the command
     * @param result its first result
     */
    public record Entry(String requestId, HashCode commandHash, RolloutResult result) {}

    private ResultMemory() {}

    /** Returns an empty memory. */
    public static ResultMemory create() {
        return new ResultMemory();
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

    /** Returns the entries from the oldest on. */
    public Collection<Entry> entries() {
        return mEntries.values();
    }
}
