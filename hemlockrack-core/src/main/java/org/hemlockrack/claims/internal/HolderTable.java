package org.hemlockrack.claims.internal;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.claims.ClaimCommand;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.HolderData;

/**
 * Ensures with bounded memory that each attempt is used at most once. A holder is an instance that
 * makes attempts.
 *
 * <p>Each command of a holder states the lowest sequence whose claim may still be granted.
 * Sequences below the highest such value are refused without being stored. Above it there is a
 * sliding window of {@link AttemptSource#WINDOW} sequences, of which the used ones are stored;
 * sequences beyond it are refused. All attempts of earlier incarnations of a holder are refused.
 * When there are too many holders, the least recently active one is evicted. From then on,
 * incarnations up to the highest evicted one are refused for holders that are not in the table.
 */
public final class HolderTable {
    /** Ten times the instances of the projected fleet, to allow for renamed and replaced ones. */
    private static final int MAX_HOLDERS = 4096;

    private final Map<InstanceId, Holder> mHolders = new LinkedHashMap<>();
    private long mIncarnationFloor;

    /** The current incarnation of a holder and its window of sequences. */
    private static final class Holder {
        private final long mIncarnation;
        private long mLowestPending;
        private final TreeSet<Long> mUsed = new TreeSet<>();

        Holder(long incarnation) {
            mIncarnation = incarnation;
        }

        void advanceLowestPending(long lowestPending) {
            if (lowestPending > mLowestPending) {
                mLowestPending = lowestPending;
                mUsed.headSet(lowestPending).clear();
            }
        }

        boolean markUsed(long sequence) {
            boolean inWindow =
                    sequence >= mLowestPending && sequence - mLowestPending < AttemptSource.WINDOW;
            return inWindow && mUsed.add(sequence);
        }
    }

    private HolderTable() {}

    /** Returns an empty table. */
    public static HolderTable create() {
        return new HolderTable();
    }

    /**
     * Marks the attempt of a command as used.
     *
     * @param command a claim or release
     * @return empty if the attempt may be used and was not used before; otherwise the lowest
     *     incarnation that is accepted from its holder
     */
    public OptionalLong markUsed(ClaimCommand command) {
        AttemptId attempt = command.attempt();
        Holder holder = mHolders.remove(attempt.holder());
        if (holder == null && attempt.incarnation() <= mIncarnationFloor) {
            return OptionalLong.of(mIncarnationFloor + 1);
        }
        if (holder == null || holder.mIncarnation < attempt.incarnation()) {
            holder = new Holder(attempt.incarnation());
        }
        mHolders.put(attempt.holder(), holder);
        evictLeastRecentlyActive();
        if (attempt.incarnation() < holder.mIncarnation) {
            return OptionalLong.of(holder.mIncarnation);
        }
        holder.advanceLowestPending(command.lowestPending());
        return holder.markUsed(attempt.sequence())
                ? OptionalLong.empty()
                : OptionalLong.of(holder.mIncarnation);
    }

    /** Returns the highest incarnation of the evicted holders. */
    public long incarnationFloor() {
        return mIncarnationFloor;
    }

    /** Returns the holders for a snapshot, the least recently active first. */
    public List<HolderData> toData() {
        List<HolderData> data = new ArrayList<>();
        mHolders.forEach(
                (id, holder) ->
                        data.add(
                                new HolderData(
                                        id.value(),
                                        holder.mIncarnation,
                                        holder.mLowestPending,
                                        List.copyOf(holder.mUsed))));
        return data;
    }

    /**
     * Adds a holder from a snapshot as the most recently active one.
     *
     * @param data the holder
     */
    public void add(HolderData data) {
        Holder holder = new Holder(data.getIncarnation());
        holder.mLowestPending = data.getLowestPending();
        holder.mUsed.addAll(data.getUsed());
        mHolders.put(InstanceId.of(data.getHolder()), holder);
    }

    /**
     * Sets the highest incarnation of the evicted holders.
     *
     * @param incarnation the incarnation
     */
    public void setIncarnationFloor(long incarnation) {
        mIncarnationFloor = incarnation;
    }

    private void evictLeastRecentlyActive() {
        Iterator<Holder> oldest = mHolders.values().iterator();
        while (mHolders.size() > MAX_HOLDERS) {
            mIncarnationFloor = Math.max(mIncarnationFloor, oldest.next().mIncarnation);
            oldest.remove();
        }
    }
}
