package org.hemlockrack.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The newest decision about each prompt part. Instances merge their tables, so that they agree once
 * they have heard of each other. Bounded; not thread-safe.
 */
public final class VerdictTable {
    /** Largest number of parts; the decisions that ended first are dropped. */
    public static final int MAX_PARTS = 256;

    /** Time after the end of a decision for which a single crash holds the part back again. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(20);

    private final Map<String, Verdict> mByPart = new HashMap<>();

    private VerdictTable() {}

    /** Creates an empty table. */
    public static VerdictTable create() {
        return new VerdictTable();
    }

    /**
     * Adds a decision unless a newer one is known.
     *
     * @param verdict the decision
     * @return whether it was added
     */
    public boolean merge(Verdict verdict) {
        Verdict known = mByPart.get(verdict.part());
        if (known != null && !verdict.replaces(known)) {
            return false;
        }
        mByPart.put(verdict.part(), verdict);
        if (mByPart.size() > MAX_PARTS) {
            mByPart.values().stream()
                    .min(Comparator.comparingLong(Verdict::untilNanos))
                    .ifPresent(first -> mByPart.remove(first.part()));
        }
        return true;
    }

    /** Returns the newest decision about a part, or null. */
    public @Nullable Verdict find(String part) {
        return mByPart.get(part);
    }

    /**
     * Returns the decision that holds a request back.
     *
     * @param nowNanos monotonic time
     * @param parts names of the request's shared parts
     * @return the decision that ends last, or null if none is in force
     */
    public @Nullable Verdict inForce(long nowNanos, List<String> parts) {
        Verdict last = null;
        for (String part : parts) {
            Verdict verdict = mByPart.get(part);
            if (verdict == null || !verdict.isInForce(nowNanos)) {
                continue;
            }
            if (last == null || verdict.untilNanos() - last.untilNanos() > 0) {
                last = verdict;
            }
        }
        return last;
    }

    /** Returns the decisions that are in force. */
    public List<Verdict> allInForce(long nowNanos) {
        return mByPart.values().stream().filter(each -> each.isInForce(nowNanos)).toList();
    }

    /** Returns all retained decisions. */
    public Collection<Verdict> all() {
        return new ArrayList<>(mByPart.values());
    }

    /** Drops the decisions that ended long ago. Returns whether there were any. */
    boolean expire(long nowNanos) {
        return mByPart.values().removeIf(each -> nowNanos - each.untilNanos() > RETENTION_NANOS);
    }
}
