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

/** Placement by a rendezvous ranking whose head is reordered by a bounded chat table. */
public final class TablePlacement implements Placement {
    /** Ticks of 100 ms: an int covers 6.8 years and needs half the memory of a long. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double TICKS_PER_SECOND = 10;

    private final ChatTable mTable;
    private final CandidateDirectory mDirectory;
    private final Ranking mRanking = new Ranking();
    private final int mColdWindowTicks;
    private final double mDefaultTurnoverTicks;
    private boolean mStarted;
    private double mMeanLoadRatio;
    private long mBaseNanos;

    private TablePlacement(PlacementSettings settings) {
        mTable = ChatTable.create(settings.maxChats());
        int retentionTicks = (int) (settings.serverRetentionNanos() / TICK_NANOS);
        mDirectory = CandidateDirectory.create(retentionTicks);
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
        mDirectory.update(toTick(nowNanos), candidates);
    }

    @Override
    public List<PlacementChoice> choose(
            long nowNanos, PlacementKey key, PlacementFilter filter, int max) {
        int tick = toTick(nowNanos);
        List<PlacementChoice> choices = new ArrayList<>(max);
        for (VersionGroup group : mDirectory.groups(filter.service(), filter.model())) {
            if (choices.size() >= max) {
                break;
            }
            if (group.admits(key.hash())) {
                mRanking.reset(Math.max(max, STABLE_CHOICES));
                mRanking.addGroup(group, key.hash(), filter.excluded());
                mMeanLoadRatio = group.meanLoadRatio();
                appendChoices(tick, key, filter.firstTurn(), max, choices);
            }
        }
        return choices;
    }

    @Override
    public void recordServed(long nowNanos, PlacementKey key, PlacementChoice choice) {
        ServerCacheState server =
                mDirectory.find(choice.service(), choice.modelVersion(), choice.backend());
        if (server != null) {
            mTable.recordUse(key.hash(), server.slot(), toTick(nowNanos));
        }
    }

    @Override
    public void applyCacheEvent(long nowNanos, CacheEvent event) {
        ServerCacheState server =
                mDirectory.find(event.service(), event.modelVersion(), event.backend());
        if (server == null || server.candidate().incarnation() != event.incarnation()) {
            return;
        }
        int tick = toTick(nowNanos);
        server.recordEvent(tick);
        switch (server.sequenceWindow().accept(event.sequence())) {
            case NEXT -> applyInOrder(server, tick, event);
            case AFTER_GAP -> {
                server.recordGap(tick);
                applyInOrder(server, tick, event);
            }
            case LATE -> applyLate(server, tick, event);
            default -> {}
        }
    }

    @Override
    public long turnoverNanos(PlacementChoice choice) {
        ServerCacheState server =
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
        return mTable.sizeBytes();
    }

    /** Appends the ranked servers: cached copies, then the rest of the head, then the others. */
    private void appendChoices(
            int tick, PlacementKey key, boolean firstTurn, int max, List<PlacementChoice> choices) {
        int index = mTable.find(key.hash());
        int headSize = Math.min(STABLE_CHOICES, mRanking.size());
        int taken = 0;
        for (int rank = 0; rank < headSize && index != ChatTable.NONE; rank++) {
            if (isTrustedCopy(rank, tick, index)) {
                taken |= 1 << rank;
                addChoice(rank, PlacementReason.REMEMBERED, max, choices);
            }
        }
        boolean byLoad = (firstTurn || taken != 0) && allPublishEvents(headSize, tick);
        for (int i = Integer.bitCount(taken); i < headSize; i++) {
            int rank = nextRank(headSize, taken, byLoad);
            taken |= 1 << rank;
            addChoice(rank, byLoad ? PlacementReason.LOAD : PlacementReason.HASH, max, choices);
        }
        for (int rank = headSize; rank < mRanking.size(); rank++) {
            addChoice(rank, PlacementReason.HASH, max, choices);
        }
    }

    /**
     * Returns whether a server that has the chat cached may precede higher ranked servers. Without
     * cache events other instances are not informed of the copy and use the hash ranking; such a
     * copy is therefore preferred only while the first-ranked server is cold. Otherwise instances
     * would use different servers for the chat permanently.
     */
    private boolean isTrustedCopy(int rank, int tick, int index) {
        ServerCacheState server = mRanking.get(rank);
        if (!holdsChat(server, tick, index)) {
            return false;
        }
        return rank == 0
                || server.publishesEvents(tick)
                || mRanking.get(0).isColdWithin(tick, mColdWindowTicks);
    }

    private boolean allPublishEvents(int headSize, int tick) {
        for (int rank = 0; rank < headSize; rank++) {
            if (!mRanking.get(rank).publishesEvents(tick)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the first rank not yet taken, or the least loaded one by {@link #excessLoad}. */
    private int nextRank(int headSize, int taken, boolean byLoad) {
        int best = -1;
        for (int rank = 0; rank < headSize; rank++) {
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
     * Returns the load ratio of a server, at least the mean: all loads up to the mean are treated
     * as equal. If instances chose the minimum of a summary, all of them would choose the same
     * server until the next summary.
     */
    private double excessLoad(int rank) {
        return Math.max(mMeanLoadRatio, mRanking.get(rank).loadRatio());
    }

    private boolean holdsChat(ServerCacheState server, int tick, int index) {
        for (int position = 0; position < ChatTable.SERVERS_PER_CHAT; position++) {
            if (mTable.slot(index, position) == server.slot()) {
                return server.probablyHolds(
                        mTable.tick(index, position), tick, turnoverTicks(server));
            }
        }
        return false;
    }

    private void addChoice(
            int rank, PlacementReason reason, int max, List<PlacementChoice> choices) {
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

    private void applyInOrder(ServerCacheState server, int tick, CacheEvent event) {
        int changeTick = toChangeTick(tick, event);
        if (event.cleared()) {
            server.invalidate(changeTick);
        }
        for (PlacementKey key : event.removed()) {
            int usedTick = mTable.remove(key.hash(), server.slot(), changeTick);
            if (usedTick != ChatTable.NONE) {
                server.recordEviction(changeTick - usedTick);
            }
        }
        for (PlacementKey key : event.added()) {
            mTable.recordUse(key.hash(), server.slot(), changeTick);
        }
    }

    /**
     * Applies removals only: an event already applied may have undone the additions of a late one.
     */
    private void applyLate(ServerCacheState server, int tick, CacheEvent event) {
        int changeTick = toChangeTick(tick, event);
        if (event.cleared()) {
            server.invalidate(changeTick);
        }
        for (PlacementKey key : event.removed()) {
            mTable.remove(key.hash(), server.slot(), changeTick);
        }
    }

    private static int toChangeTick(int tick, CacheEvent event) {
        return (int) Math.max(0, tick - event.ageNanos() / TICK_NANOS);
    }

    private double turnoverTicks(ServerCacheState server) {
        return server.turnoverTicks(TICKS_PER_SECOND, mDefaultTurnoverTicks);
    }

    private int toTick(long nowNanos) {
        if (!mStarted) {
            mStarted = true;
            mBaseNanos = nowNanos;
        }
        return (int) ((nowNanos - mBaseNanos) / TICK_NANOS);
    }
}
