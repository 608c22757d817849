package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * All known instances, with the transitions of their status: suspicion, death, refutation,
 * partitions and flap damping.
 */
public final class MemberTable {
    /**
     * How long dead members and members that left stay in digests. Their entries are kept for twice
     * as long, so that old updates about them are rejected.
     */
    static final long RETAIN_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Maximum number of members that are dead or left; beyond it the oldest are removed. */
    static final int MAX_GONE = 256;

    /** Maximum number of members; limits the memory that peers can make this process use. */
    static final int MAX_MEMBERS = 4_096;

    /** Time after which an earlier flap no longer counts for flap damping. */
    private static final long FLAP_MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);

    /**
     * Time after which an unreachable member is declared dead although its group is still
     * unreachable.
     */
    private static final long MAX_UNREACHABLE_NANOS = TimeUnit.HOURS.toNanos(24);

    private final Map<Long, MemberEntry> mMembers = new LinkedHashMap<>();
    private final MemberEntry mSelf;
    private final GossipRules mRules;
    private final BucketDigests mDigests;
    private final RumorQueue mRumors;
    private Set<String> mUnreachableZones = Set.of();
    private Set<String> mUnreachableRegions = Set.of();
    private boolean mIsolated;
    private boolean mChanged = true;
    private boolean mSelfDoubted;
    private long mSuspicionNanos;
    private long mNextDeadlineNanos = Long.MAX_VALUE;
    private @Nullable MemberEntry mLastSuspect;
    private int mTransmits = 4;

    MemberTable(
            InstanceInfo self,
            Version start,
            GossipRules rules,
            BucketDigests digests,
            RumorQueue rumors) {
        mRules = rules;
        mDigests = digests;
        mRumors = rumors;
        MemberUpdate update =
                new MemberUpdate(
                        ShortIds.member(self.id().value()),
                        self,
                        start,
                        MemberStatus.ALIVE,
                        false,
                        false,
                        0);
        mSelf = new MemberEntry(self, update, Long.MIN_VALUE);
        mMembers.put(mSelf.mShortId, mSelf);
        mDigests.put(mSelf.mShortId, start);
        mRumors.add(
                TrafficClass.STATE,
                false,
                mSelf.mShortId,
                GossipCodec.toFull(update, self),
                mTransmits);
    }

    /** Sets the parameters that depend on the fleet size. */
    void setFleetParameters(long suspicionNanos, int transmits) {
        mSuspicionNanos = suspicionNanos;
        mTransmits = transmits;
    }

    MemberEntry self() {
        return mSelf;
    }

    @Nullable MemberEntry get(long shortId) {
        return mMembers.get(shortId);
    }

    @Nullable MemberEntry get(InstanceId id) {
        return mMembers.get(ShortIds.member(id.value()));
    }

    Collection<MemberEntry> entries() {
        return mMembers.values();
    }

    List<MemberEntry> others(Predicate<MemberEntry> filter) {
        List<MemberEntry> found = new ArrayList<>();
        for (MemberEntry entry : mMembers.values()) {
            if (entry != mSelf && filter.test(entry)) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Returns the number of instances that are not gone, including self. */
    int liveCount() {
        int count = 0;
        for (MemberEntry entry : mMembers.values()) {
            count += entry.isGone() ? 0 : 1;
        }
        return count;
    }

    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Returns whether an update since the last call showed that its sender does not hold self as
     * alive, or holds a newer version of self than self has.
     */
    boolean takeSelfDoubted() {
        boolean selfDoubted = mSelfDoubted;
        mSelfDoubted = false;
        return selfDoubted;
    }

    /** Returns the member that was suspected since the last call, or null. */
    @Nullable MemberEntry takeLastSuspect() {
        MemberEntry entry = mLastSuspect;
        mLastSuspect = null;
        return entry;
    }

    Set<String> unreachableZones() {
        return mUnreachableZones;
    }

    Set<String> unreachableRegions() {
        return mUnreachableRegions;
    }

    boolean isIsolated() {
        return mIsolated;
    }

    long nextDeadlineNanos() {
        return mNextDeadlineNanos;
    }

    /** Changes the published state of self. */
    void updateSelf(boolean ready, boolean draining, long configVersion) {
        boolean stateChanged = ready != mSelf.mReady || draining != mSelf.mDraining;
        if (!stateChanged && configVersion == mSelf.mConfigVersion) {
            return;
        }
        mSelf.mReady = ready;
        mSelf.mDraining = draining;
        mSelf.mConfigVersion = Math.max(configVersion, mSelf.mConfigVersion);
        publishSelf(
                mSelf.mIncarnation.next(), stateChanged ? TrafficClass.STATE : TrafficClass.LOAD);
    }

    /** Marks self as left. */
    void leave() {
        mSelf.mStatus = MemberStatus.LEFT;
        publishSelf(mSelf.mIncarnation.next(), TrafficClass.URGENT);
    }

    /**
     * Applies an update about a member.
     *
     * @return false if the update is in brief form and the full record must be requested first
     */
    boolean apply(long nowNanos, MemberUpdate update) {
        if (update.shortId() == mSelf.mShortId) {
            applyToSelf(update);
            return true;
        }
        MemberEntry entry = mMembers.get(update.shortId());
        if (entry == null) {
            return add(nowNanos, update);
        }
        if (mRules.supersedes(entry.mIncarnation, update.incarnation())) {
            boolean restarted = entry.mIncarnation.epoch() != update.incarnation().epoch();
            if (restarted && update.info() == null) {
                return false;
            }
            replace(nowNanos, entry, update, restarted);
        } else if (entry.mIncarnation.equals(update.incarnation())) {
            applyReportedSuspicion(nowNanos, entry, update.status());
        }
        return true;
    }

    /** Starts the suspicion of a member whose probes failed. */
    void suspect(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.ALIVE) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        }
    }

    /** Handles any message of a member, which shows that it is not partitioned any more. */
    void onMessageFrom(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.UNREACHABLE) {
            enterStatus(nowNanos, entry, MemberStatus.ALIVE);
        }
    }

    /** Handles the acknowledgement of a probe, which ends a suspicion. */
    void onAckFrom(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.SUSPECT || entry.mStatus == MemberStatus.UNREACHABLE) {
            enterStatus(nowNanos, entry, MemberStatus.ALIVE);
        }
    }

    /** Gives every suspected member a new suspicion period after this process was paused. */
    void restartSuspicions(long nowNanos) {
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT) {
                entry.mSuspicionEndNanos = nowNanos + mSuspicionNanos;
            }
        }
    }

    /** Ends the suspicions that are due and re-evaluates partitions. */
    void onTimer(long nowNanos) {
        if (nowNanos < mNextDeadlineNanos) {
            return;
        }
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT && entry.mSuspicionEndNanos <= nowNanos) {
                endSuspicion(nowNanos, entry);
            }
        }
        mNextDeadlineNanos = Long.MAX_VALUE;
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT) {
                mNextDeadlineNanos = Math.min(mNextDeadlineNanos, entry.mSuspicionEndNanos);
            }
        }
    }

    /**
     * Re-evaluates partitions, ends flap damping that is due and removes members that have been
     * dead or have left for a long time.
     */
    void sweep(long nowNanos) {
        updateUnreachableGroups(nowNanos);
        List<MemberEntry> gone = new ArrayList<>();
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mDampedUntilNanos != Long.MIN_VALUE && entry.mDampedUntilNanos <= nowNanos) {
                entry.mDampedUntilNanos = Long.MIN_VALUE;
                mChanged = true;
            }
            if (entry != mSelf && entry.isGone()) {
                gone.add(entry);
            }
        }
        gone.sort(Comparator.comparingLong(entry -> entry.mStatusSinceNanos));
        for (int i = 0; i < gone.size(); i++) {
            forget(nowNanos, gone.get(i), gone.size() - i > MAX_GONE);
        }
    }

    /** Removes a member that is dead or left from the digests, and later from the table. */
    private void forget(long nowNanos, MemberEntry entry, boolean isExcess) {
        long ageNanos = nowNanos - entry.mStatusSinceNanos;
        if (ageNanos > RETAIN_NANOS || isExcess) {
            mDigests.put(entry.mShortId, null);
        }
        if (ageNanos > 2 * RETAIN_NANOS || isExcess) {
            mMembers.remove(entry.mShortId);
            mChanged = true;
        }
    }

    private boolean add(long nowNanos, MemberUpdate update) {
        InstanceInfo info = update.info();
        if (info == null) {
            return false;
        }
        if (mMembers.size() >= MAX_MEMBERS) {
            return true;
        }
        MemberEntry entry = new MemberEntry(info, update, nowNanos);
        mMembers.put(entry.mShortId, entry);
        mDigests.put(entry.mShortId, entry.mIncarnation);
        mChanged = true;
        if (update.status() == MemberStatus.SUSPECT) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        } else {
            entry.mStatus = update.status();
            queueRumor(entry, TrafficClass.STATE, true);
        }
        return true;
    }

    /** Applies an update that is newer than the stored entry. */
    private void replace(long nowNanos, MemberEntry entry, MemberUpdate update, boolean restarted) {
        boolean affectsOwnership = restarted || update.ready() != entry.mReady;
        affectsOwnership |= update.draining() != entry.mDraining;
        entry.applyUpdate(update);
        mDigests.put(entry.mShortId, entry.mIncarnation);
        mChanged = true;
        switch (update.status()) {
            case LEFT -> {
                setStatus(nowNanos, entry, MemberStatus.LEFT);
                queueRumor(entry, TrafficClass.URGENT, false);
            }
            case ALIVE -> {
                boolean isRefuted = entry.mStatus != MemberStatus.ALIVE;
                setStatus(nowNanos, entry, MemberStatus.ALIVE);
                TrafficClass usualClass = affectsOwnership ? TrafficClass.STATE : TrafficClass.LOAD;
                queueRumor(entry, isRefuted ? TrafficClass.URGENT : usualClass, restarted);
            }
            default -> {
                setStatus(nowNanos, entry, MemberStatus.ALIVE);
                applyReportedSuspicion(nowNanos, entry, update.status());
            }
        }
    }

    /**
     * Applies a suspicion or death that another member reported. A reported death must be confirmed
     * by a suspicion of half the usual length.
     */
    private void applyReportedSuspicion(long nowNanos, MemberEntry entry, MemberStatus reported) {
        if (reported != MemberStatus.SUSPECT && reported != MemberStatus.DEAD) {
            return;
        }
        long lengthNanos = reported == MemberStatus.DEAD ? mSuspicionNanos / 2 : mSuspicionNanos;
        if (entry.mStatus == MemberStatus.ALIVE) {
            startSuspicion(nowNanos, entry, lengthNanos);
        }
    }

    private void startSuspicion(long nowNanos, MemberEntry entry, long lengthNanos) {
        setStatus(nowNanos, entry, MemberStatus.SUSPECT);
        entry.mSuspicionExtended = false;
        entry.mSuspicionEndNanos = nowNanos + lengthNanos;
        mNextDeadlineNanos = Math.min(mNextDeadlineNanos, entry.mSuspicionEndNanos);
        mLastSuspect = entry;
        queueRumor(entry, TrafficClass.URGENT, false);
    }

    /**
     * Decides on a suspected member that has not refuted in time: it is unreachable if most of its
     * zone, its region or the fleet is, and dead otherwise.
     */
    private void endSuspicion(long nowNanos, MemberEntry entry) {
        GroupCounts zone =
                countGroup(nowNanos, other -> other.mInfo.zone().equals(entry.mInfo.zone()));
        GroupCounts region =
                countGroup(nowNanos, other -> other.mInfo.region().equals(entry.mInfo.region()));
        GroupCounts fleet = countGroup(nowNanos, other -> true);
        boolean isPartitioned =
                mRules.isGroupUnreachable(zone.unreachable(), zone.total())
                        || mRules.isGroupUnreachable(region.unreachable(), region.total())
                        || mRules.isIsolated(fleet.unreachable(), fleet.total());
        if (isPartitioned) {
            enterStatus(nowNanos, entry, MemberStatus.UNREACHABLE);
            updateUnreachableGroups(nowNanos);
            return;
        }
        if (zone.unreachable() >= 2 && !entry.mSuspicionExtended) {
            // A second suspect in the zone may be the start of a partition: wait for more
            // evidence.
            entry.mSuspicionExtended = true;
            entry.mSuspicionEndNanos = nowNanos + mSuspicionNanos / 2;
            return;
        }
        enterStatus(nowNanos, entry, MemberStatus.DEAD);
        queueRumor(entry, TrafficClass.URGENT, false);
    }

    /**
     * Determines the unreachable zones and regions and whether self is isolated, and adapts the
     * status of the members.
     */
    private void updateUnreachableGroups(long nowNanos) {
        Set<String> unreachableZones =
                findUnreachableGroups(nowNanos, entry -> entry.mInfo.zone().value());
        Set<String> unreachableRegions =
                findUnreachableGroups(nowNanos, entry -> entry.mInfo.region());
        GroupCounts fleet = countGroup(nowNanos, entry -> true);
        boolean isolated = mRules.isIsolated(fleet.unreachable(), fleet.total());
        mChanged |=
                !unreachableZones.equals(mUnreachableZones)
                        || !unreachableRegions.equals(mUnreachableRegions);
        mChanged |= isolated != mIsolated;
        mUnreachableZones = unreachableZones;
        mUnreachableRegions = unreachableRegions;
        mIsolated = isolated;
        for (MemberEntry entry : mMembers.values()) {
            boolean isPartitioned =
                    isolated
                            || unreachableZones.contains(entry.mInfo.zone().value())
                            || unreachableRegions.contains(entry.mInfo.region());
            reclassify(nowNanos, entry, isPartitioned);
        }
    }

    /**
     * Turns a recent death in a group that is now partitioned into status UNREACHABLE. Suspects an
     * unreachable member again when its group is no longer partitioned, and declares it dead when
     * it has been unreachable for too long.
     */
    private void reclassify(long nowNanos, MemberEntry entry, boolean isPartitioned) {
        long ageNanos = nowNanos - entry.mStatusSinceNanos;
        if (isPartitioned && isRecentlyDead(nowNanos, entry)) {
            enterStatus(nowNanos, entry, MemberStatus.UNREACHABLE);
        } else if (entry.mStatus == MemberStatus.UNREACHABLE && !isPartitioned) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        } else if (entry.mStatus == MemberStatus.UNREACHABLE && ageNanos > MAX_UNREACHABLE_NANOS) {
            enterStatus(nowNanos, entry, MemberStatus.DEAD);
        }
    }

    private Set<String> findUnreachableGroups(long nowNanos, Function<MemberEntry, String> name) {
        Set<String> unreachableGroups = new TreeSet<>();
        Set<String> seen = new TreeSet<>();
        for (MemberEntry entry : mMembers.values()) {
            boolean isDoubtful = !entry.mStatus.equals(MemberStatus.ALIVE);
            if (!isDoubtful || !seen.add(name.apply(entry))) {
                continue;
            }
            String groupName = name.apply(entry);
            GroupCounts group = countGroup(nowNanos, other -> name.apply(other).equals(groupName));
            if (group.confirmed()
                    && mRules.isGroupUnreachable(group.unreachable(), group.total())) {
                unreachableGroups.add(groupName);
            }
        }
        return unreachableGroups;
    }

    /** Counts the members of a group. Recently dead members still count as unreachable ones. */
    private GroupCounts countGroup(long nowNanos, Predicate<MemberEntry> filter) {
        int unreachable = 0;
        int total = 0;
        boolean confirmed = false;
        for (MemberEntry entry : mMembers.values()) {
            if (!filter.test(entry)) {
                continue;
            }
            boolean recentlyDead = isRecentlyDead(nowNanos, entry);
            if (entry.isGone() && !recentlyDead) {
                continue;
            }
            total++;
            unreachable += entry.mStatus == MemberStatus.ALIVE ? 0 : 1;
            confirmed |= recentlyDead || entry.mStatus == MemberStatus.UNREACHABLE;
        }
        return new GroupCounts(unreachable, total, confirmed);
    }

    private boolean isRecentlyDead(long nowNanos, MemberEntry entry) {
        return entry.mStatus == MemberStatus.DEAD
                && nowNanos - entry.mStatusSinceNanos < mSuspicionNanos;
    }

    /**
     * Applies an update about self. Refutes a suspicion or death, or an update that is newer than
     * the own state, by publishing a newer version.
     */
    private void applyToSelf(MemberUpdate update) {
        boolean newer = update.incarnation().compareTo(mSelf.mIncarnation) > 0;
        boolean selfDoubted =
                update.incarnation().equals(mSelf.mIncarnation)
                        && update.status() != mSelf.mStatus
                        && update.status() != MemberStatus.ALIVE;
        boolean isOutdated = !newer && update.status() != MemberStatus.ALIVE;
        mSelfDoubted |= newer || selfDoubted || isOutdated;
        if ((newer || selfDoubted) && mRules.refutesOwnDeath()) {
            publishSelf(update.incarnation().next(), TrafficClass.URGENT);
        }
    }

    private void publishSelf(Version incarnation, TrafficClass trafficClass) {
        boolean restarted = incarnation.epoch() != mSelf.mIncarnation.epoch();
        mSelf.mIncarnation = incarnation;
        mDigests.put(mSelf.mShortId, incarnation);
        mChanged = true;
        queueRumor(mSelf, trafficClass, restarted);
    }

    private void enterStatus(long nowNanos, MemberEntry entry, MemberStatus status) {
        setStatus(nowNanos, entry, status);
        mChanged = true;
    }

    private void setStatus(long nowNanos, MemberEntry entry, MemberStatus status) {
        if (entry.mStatus == status) {
            return;
        }
        if (entry.mStatus == MemberStatus.DEAD && status == MemberStatus.ALIVE) {
            recordFlap(nowNanos, entry);
        }
        entry.mStatus = status;
        entry.mStatusSinceNanos = nowNanos;
        mChanged = true;
    }

    /** Counts the return of a dead member and starts its flap damping. */
    private void recordFlap(long nowNanos, MemberEntry entry) {
        boolean isNewSeries = nowNanos - entry.mLastFlapNanos > FLAP_MEMORY_NANOS;
        entry.mFlaps = isNewSeries ? 1 : entry.mFlaps + 1;
        entry.mLastFlapNanos = nowNanos;
        entry.mDampedUntilNanos = nowNanos + mRules.flapDampingNanos(entry.mFlaps);
    }

    private void queueRumor(MemberEntry entry, TrafficClass trafficClass, boolean full) {
        MemberUpdate update = entry.toUpdate();
        if (full) {
            MemberEntry known = entry;
            mRumors.add(
                    trafficClass,
                    false,
                    entry.mShortId,
                    GossipCodec.toFull(update, known.mInfo),
                    mTransmits);
        } else {
            mRumors.add(
                    trafficClass, false, entry.mShortId, GossipCodec.toBrief(update), mTransmits);
        }
    }

    private record GroupCounts(int unreachable, int total, boolean confirmed) {}
}
