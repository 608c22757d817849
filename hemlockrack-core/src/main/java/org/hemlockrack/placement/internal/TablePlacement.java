package org.hemlockrack.placement.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.placement.CacheEvent;
import org.hemlockrack.placement.Candidate;
import org.hemlockrack.placement.Placement;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.placement.PlacementFilter;
import org.hemlockrack.placement.PlacementKey;
import org.hemlockrack.placement.PlacementReason;
import org.hemlockrack.placement.PlacementSettings;

/** Rendezvous ranking corrected by a bounded chat table. */
public final class TablePlacement implements Placement {
    /** Ticks of 100 ms fit 6.8 years into an int, and halve the size of a time in the table. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double TICKS_PER_SECOND = 10;

    private final ChatTable mTable;
    private final Directory mDirectory;
    private final Ranking mRanking = new Ranking();
    private final int mColdWindowTicks;
    private final double mDefaultTurnoverTicks;
    private boolean mStarted;
    private double mMeanRatio;
    private long mBaseNanos;

    private TablePlacement(PlacementSettings settings) {
        mTable = ChatTable.create(settings.maxChats());
        int forgetTicks = (int) (settings.serverRetentionNanos() / TICK_NANOS);
        mDirectory = Directory.create(forgetTicks);
        mColdWindowTicks = (int) (settings.coldWindowNanos() / TICK_NANOS);
        mDefaultTurnoverTicks = (double) settings.defaultTurnoverNanos() / TICK_NANOS;
    }

    /**
     * Creates a placement without candidates.
     *
     * @param settings the settings
     * @return the placement
     */
    public static TablePlacement create(PlacementSettings settings) {
        return new TablePlacement(settings);
    }

    @Override
    public void update(long nowNanos, List<Candidate> candidates) {
        mDirectory.update(tick(nowNanos), candidates);
    }

    @Override
    public List<PlacementChoice> choose(
            long nowNanos, PlacementKey key, PlacementFilter filter, int max) {
        int tick = tick(nowNanos);
        List<PlacementChoice> choices = new ArrayList<>(max);
        for (VersionGroup group : mDirectory.groups(filter.service(), filter.model())) {
            if (choices.size() >= max) {
                break;
            }
            if (group.admits(key.hash())) {
                mRanking.reset(Math.max(max, STABLE_CHOICES));
                mRanking.rank(group, key.hash(), filter.excluded());
                mMeanRatio = group.meanRatio();
                arrange(tick, key, filter.firstTurn(), max, choices);
            }
        }
        return choices;
    }

    @Override
    public void recordServed(long nowNanos, PlacementKey key, PlacementChoice choice) {
        ServerState server =
                mDirectory.find(choice.service(), choice.modelVersion(), choice.backend());
        if (server != null) {
            mTable.put(key.hash(), server.slot(), tick(nowNanos));
        }
    }

    @Override
    public void applyCacheEvent(long nowNanos, CacheEvent event) {
        ServerState server =
                mDirectory.find(event.service(), event.modelVersion(), event.backend());
        if (server == null || server.candidate().incarnation() != event.incarnation()) {
            return;
        }
        int tick = tick(nowNanos);
        server.eventArrived(tick);
        switch (server.sequence().accept(event.sequence())) {
            case NEXT -> apply(server, tick, event);
            case AFTER_GAP -> {
                server.gap(tick);
                apply(server, tick, event);
            }
            case LATE -> applyLate(server, tick, event);
            default -> {}
        }
    }

    @Override
    public long turnoverNanos(PlacementChoice choice) {
        ServerState server =
                mDirectory.find(choice.service(), choice.modelVersion(), choice.backend());
        double ticks = server == null ? mDefaultTurnoverTicks : turnoverTicks(server);
        return (long) (ticks * TICK_NANOS);
    }

    @Override
    public int trackedChats() {
        return mTable.size();
    }

    @Override
    public long tableBytes() {
        return mTable.bytes();
    }

    /** Appends the ranked servers: known copies, then the rest of the head, then the others. */
    private void arrange(
            int tick, PlacementKey key, boolean firstTurn, int max, List<PlacementChoice> choices) {
        int index = mTable.find(key.hash());
        int head = Math.min(STABLE_CHOICES, mRanking.size());
        int taken = 0;
        for (int rank = 0; rank < head && index != ChatTable.NONE; rank++) {
            if (isTrustedCopy(rank, tick, index)) {
                taken |= 1 << rank;
                add(rank, PlacementReason.REMEMBERED, max, choices);
            }
        }
        boolean byLoad = (firstTurn || taken != 0) && allPublishEvents(head, tick);
        for (int i = Integer.bitCount(taken); i < head; i++) {
            int rank = next(head, taken, byLoad);
            taken |= 1 << rank;
            add(rank, byLoad ? PlacementReason.LOAD : PlacementReason.HASH, max, choices);
        }
        for (int rank = head; rank < mRanking.size(); rank++) {
            add(rank, PlacementReason.HASH, max, choices);
        }
    }

    /**
     * Returns whether a known copy may go before its rank. Without cache events other instances do
     * not learn of the place and follow the hash, so the first choice then yields only while it is
     * cold; otherwise instances would keep copies apart for good.
     */
    private boolean isTrustedCopy(int rank, int tick, int index) {
        ServerState server = mRanking.get(rank);
        if (!holds(server, tick, index)) {
            return false;
        }
        return rank == 0
                || server.publishesEvents(tick)
                || mRanking.get(0).coldWithin(tick, mColdWindowTicks);
    }

    private boolean allPublishEvents(int head, int tick) {
        for (int rank = 0; rank < head; rank++) {
            if (!mRanking.get(rank).publishesEvents(tick)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the first rank not yet taken, or the least loaded one above the mean. */
    private int next(int head, int taken, boolean byLoad) {
        int best = -1;
        for (int rank = 0; rank < head; rank++) {
            if ((taken >> rank & 1) == 1) {
                continue;
            }
            if (best < 0 || (byLoad && excessLoad(rank) < excessLoad(best))) {
                best = rank;
            }
        }
        return best;
    }

    /**
     * Treats all loads up to the mean alike. Sending to the minimum of an old summary would make
     * all instances choose the same server until the next one.
     */
    private double excessLoad(int rank) {
        return Math.max(mMeanRatio, mRanking.get(rank).loadRatio());
    }

    private boolean holds(ServerState server, int tick, int index) {
        for (int place = 0; place < ChatTable.PLACES; place++) {
            if (mTable.slot(index, place) == server.slot()) {
                return server.holds(mTable.tick(index, place), tick, turnoverTicks(server));
            }
        }
        return false;
    }

    private void add(int rank, PlacementReason reason, int max, List<PlacementChoice> choices) {
        if (choices.size() >= max) {
            return;
        }
        Candidate candidate = mRanking.get(rank).candidate();
        choices.add(
                new PlacementChoice(
                        candidate.service(),
                        candidate.backend(),
                        candidate.modelVersion(),
                        candidate.zone(),
                        reason));
    }

    private void apply(ServerState server, int tick, CacheEvent event) {
        int changeTick = changeTick(tick, event);
        if (event.cleared()) {
            server.clear(changeTick);
        }
        for (PlacementKey key : event.removed()) {
            int usedTick = mTable.remove(key.hash(), server.slot(), changeTick);
            if (usedTick != ChatTable.NONE) {
                server.evicted(changeTick - usedTick);
            }
        }
        for (PlacementKey key : event.added()) {
            mTable.put(key.hash(), server.slot(), changeTick);
        }
    }

    /** Additions of a late event may have been undone by a later one; removals are safe. */
    private void applyLate(ServerState server, int tick, CacheEvent event) {
        int changeTick = changeTick(tick, event);
        if (event.cleared()) {
            server.clear(changeTick);
        }
        for (PlacementKey key : event.removed()) {
            mTable.remove(key.hash(), server.slot(), changeTick);
        }
    }

    private static int changeTick(int tick, CacheEvent event) {
        return (int) Math.max(0, tick - event.ageNanos() / TICK_NANOS);
    }

    private double turnoverTicks(ServerState server) {
        return server.turnoverTicks(TICKS_PER_SECOND, mDefaultTurnoverTicks);
    }

    private int tick(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mBaseNanos = nowNanos;
        }
        return (int) ((nowNanos - mBaseNanos) / TICK_NANOS);
    }
}
