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
 * Makes attempts single-use with bounded memory.
 *
 * <p>Each command of a holder names the lowest sequence whose claim may still be granted. Sequences
 * below the highest such number are refused without being remembered; of those above it, at most
 * {@link AttemptSource#WINDOW}, the used ones are remembered. Earlier incarnations of a holder are
 * refused as a whole. When there are too many holders, the least recently active one is forgotten,
 * and incarnations up to the highest forgotten one are refused from then on for unknown holders.
 */
public final class HolderTable {
    /** Ten times the instances of the projected size, for renamed and replaced ones. */
    private static final int MAX_HOLDERS = 4096;

    private final Map<InstanceId, Holder> mHolders = new LinkedHashMap<>();
    private long mIncarnationFloor;

    private static final class Holder {
        private final long mIncarnation;
        private long mLowestPending;
        private final TreeSet<Long> mUsed = new TreeSet<>();

        Holder(long incarnation) {
            mIncarnation = incarnation;
        }

        void advance(long lowestPending) {
            if (lowestPending > mLowestPending) {
                mLowestPending = lowestPending;
                mUsed.headSet(lowestPending).clear();
            }
        }

        boolean use(long sequence) {
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
     * Uses up the attempt of a command.
     *
     * @param command a claim or release
     * @return empty if the attempt was not used before; otherwise the lowest incarnation that is
     *     accepted from its holder
     */
    public OptionalLong use(ClaimCommand command) {
        AttemptId attempt = command.attempt();
        Holder holder = mHolders.remove(attempt.holder());
        if (holder == null && attempt.incarnation() <= mIncarnationFloor) {
            return OptionalLong.of(mIncarnationFloor + 1);
        }
        if (holder == null || holder.mIncarnation < attempt.incarnation()) {
            holder = new Holder(attempt.incarnation());
        }
        mHolders.put(attempt.holder(), holder);
        forgetOldest();
        if (attempt.incarnation() < holder.mIncarnation) {
            return OptionalLong.of(holder.mIncarnation);
        }
        holder.advance(command.lowestPending());
        return holder.use(attempt.sequence())
                ? OptionalLong.empty()
                : OptionalLong.of(holder.mIncarnation);
    }

    /** Returns the highest forgotten incarnation. */
    public long incarnationFloor() {
        return mIncarnationFloor;
    }

    /** Returns the holders from the least recently active on. */
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
     * Sets the highest forgotten incarnation.
     *
     * @param incarnation the incarnation
     */
    public void setIncarnationFloor(long incarnation) {
        mIncarnationFloor = incarnation;
    }

    private void forgetOldest() {
        Iterator<Holder> oldest = mHolders.values().iterator();
        while (mHolders.size() > MAX_HOLDERS) {
            mIncarnationFloor = Math.max(mIncarnationFloor, oldest.next().mIncarnation);
            oldest.remove();
        }
    }
}
