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

/** All known instances: suspicion, death, refutation, cuts and flap damping. */
public final class MemberTable {
    /** How long the dead stay in digests; they are held for twice as long to refuse old news. */
    static final long RETAIN_NANOS = TimeUnit.MINUTES.toNanos(10);

    /** Most dead members held. */
    static final int MAX_GONE = 256;

    /** Most members held; bounds what peers can make this process store. */
    static final int MAX_MEMBERS = 4_096;

    private static final long FLAP_MEMORY_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final long MAX_UNREACHABLE_NANOS = TimeUnit.HOURS.toNanos(24);

    private final Map<Long, MemberEntry> mMembers = new LinkedHashMap<>();
    private final MemberEntry mSelf;
    private final GossipRules mRules;
    private final Digest mDigest;
    private final RumorQueue mRumors;
    private Set<String> mZonesCut = Set.of();
    private Set<String> mRegionsCut = Set.of();
    private boolean mIsolated;
    private boolean mChanged = true;
    private boolean mDoubted;
    private long mSuspicionNanos;
    private long mNextDeadlineNanos = Long.MAX_VALUE;
    private @Nullable MemberEntry mLastSuspect;
    private int mTransmits = 4;

    MemberTable(
            InstanceInfo self, Version start, GossipRules rules, Digest digest, RumorQueue rumors) {
        mRules = rules;
        mDigest = digest;
        mRumors = rumors;
        News news =
                new News(
                        ShortIds.member(self.id().value()),
                        self,
                        start,
                        MemberStatus.ALIVE,
                        false,
                        false,
                        0);
        mSelf = new MemberEntry(self, news, Long.MIN_VALUE);
        mMembers.put(mSelf.mShortId, mSelf);
        mDigest.put(mSelf.mShortId, start);
        mRumors.add(
                TrafficClass.STATE,
                false,
                mSelf.mShortId,
                GossipCodec.toFull(news, self),
                mTransmits);
    }

    /** Sets what depends on the fleet size. */
    void tune(long suspicionNanos, int transmits) {
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

    Collection<MemberEntry> all() {
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

    /** Returns how many instances are not gone, including self. */
    int size() {
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

    /** Returns whether news since the last call showed that self is not known to be alive. */
    boolean takeDoubted() {
        boolean doubted = mDoubted;
        mDoubted = false;
        return doubted;
    }

    /** Returns the member that was suspected since the last call, or null. */
    @Nullable MemberEntry takeLastSuspect() {
        MemberEntry entry = mLastSuspect;
        mLastSuspect = null;
        return entry;
    }

    Set<String> zonesCut() {
        return mZonesCut;
    }

    Set<String> regionsCut() {
        return mRegionsCut;
    }

    boolean isIsolated() {
        return mIsolated;
    }

    long nextDeadlineNanos() {
        return mNextDeadlineNanos;
    }

    /** Changes self's own condition. */
    void changeSelf(boolean ready, boolean draining, long configVersion) {
        boolean state = ready != mSelf.mReady || draining != mSelf.mDraining;
        if (!state && configVersion == mSelf.mConfigVersion) {
            return;
        }
        mSelf.mReady = ready;
        mSelf.mDraining = draining;
        mSelf.mConfigVersion = Math.max(configVersion, mSelf.mConfigVersion);
        bumpSelf(mSelf.mIncarnation.next(), state ? TrafficClass.STATE : TrafficClass.LOAD);
    }

    /** Marks self as left. */
    void leave() {
        mSelf.mStatus = MemberStatus.LEFT;
        bumpSelf(mSelf.mIncarnation.next(), TrafficClass.URGENT);
    }

    /**
     * Takes over news.
     *
     * @return false if the news is brief and needs the full record first
     */
    boolean apply(long nowNanos, News news) {
        if (news.shortId() == mSelf.mShortId) {
            applyToSelf(news);
            return true;
        }
        MemberEntry entry = mMembers.get(news.shortId());
        if (entry == null) {
            return add(nowNanos, news);
        }
        if (mRules.supersedes(entry.mIncarnation, news.incarnation())) {
            boolean restarted = entry.mIncarnation.epoch() != news.incarnation().epoch();
            if (restarted && news.info() == null) {
                return false;
            }
            replace(nowNanos, entry, news, restarted);
        } else if (entry.mIncarnation.equals(news.incarnation())) {
            applyDoubt(nowNanos, entry, news.status());
        }
        return true;
    }

    /** Starts a suspicion because probes failed. */
    void suspect(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.ALIVE) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        }
    }

    /** A message of the member arrived: it is not cut off any more. */
    void heard(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.UNREACHABLE) {
            enter(nowNanos, entry, MemberStatus.ALIVE);
        }
    }

    /** The member answered a probe that was sent after its suspicion began. */
    void acked(long nowNanos, MemberEntry entry) {
        if (entry.mStatus == MemberStatus.SUSPECT || entry.mStatus == MemberStatus.UNREACHABLE) {
            enter(nowNanos, entry, MemberStatus.ALIVE);
        }
    }

    /** Gives every suspected member a whole suspicion period, after this process was stopped. */
    void restartSuspicions(long nowNanos) {
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT) {
                entry.mDeadlineNanos = nowNanos + mSuspicionNanos;
            }
        }
    }

    /** Ends suspicions that are due and re-evaluates cuts. */
    void onTimer(long nowNanos) {
        if (nowNanos < mNextDeadlineNanos) {
            return;
        }
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT && entry.mDeadlineNanos <= nowNanos) {
                endSuspicion(nowNanos, entry);
            }
        }
        mNextDeadlineNanos = Long.MAX_VALUE;
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mStatus == MemberStatus.SUSPECT) {
                mNextDeadlineNanos = Math.min(mNextDeadlineNanos, entry.mDeadlineNanos);
            }
        }
    }

    /** Re-evaluates cuts, ends flap damping that is due and forgets the long dead. */
    void sweep(long nowNanos) {
        updateCuts(nowNanos);
        List<MemberEntry> gone = new ArrayList<>();
        for (MemberEntry entry : mMembers.values()) {
            if (entry.mTrustedAtNanos != Long.MIN_VALUE && entry.mTrustedAtNanos <= nowNanos) {
                entry.mTrustedAtNanos = Long.MIN_VALUE;
                mChanged = true;
            }
            if (entry != mSelf && entry.isGone()) {
                gone.add(entry);
            }
        }
        gone.sort(Comparator.comparingLong(entry -> entry.mSinceNanos));
        for (int i = 0; i < gone.size(); i++) {
            forget(nowNanos, gone.get(i), gone.size() - i > MAX_GONE);
        }
    }

    private void forget(long nowNanos, MemberEntry entry, boolean excess) {
        long ageNanos = nowNanos - entry.mSinceNanos;
        if (ageNanos > RETAIN_NANOS || excess) {
            mDigest.put(entry.mShortId, null);
        }
        if (ageNanos > 2 * RETAIN_NANOS || excess) {
            mMembers.remove(entry.mShortId);
            mChanged = true;
        }
    }

    private boolean add(long nowNanos, News news) {
        InstanceInfo info = news.info();
        if (info == null) {
            return false;
        }
        if (mMembers.size() >= MAX_MEMBERS) {
            return true;
        }
        MemberEntry entry = new MemberEntry(info, news, nowNanos);
        mMembers.put(entry.mShortId, entry);
        mDigest.put(entry.mShortId, entry.mIncarnation);
        mChanged = true;
        if (news.status() == MemberStatus.SUSPECT) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        } else {
            entry.mStatus = news.status();
            spread(entry, TrafficClass.STATE, true);
        }
        return true;
    }

    private void replace(long nowNanos, MemberEntry entry, News news, boolean restarted) {
        boolean ownership = restarted || news.ready() != entry.mReady;
        ownership |= news.draining() != entry.mDraining;
        entry.copy(news);
        mDigest.put(entry.mShortId, entry.mIncarnation);
        mChanged = true;
        switch (news.status()) {
            case LEFT -> {
                setStatus(nowNanos, entry, MemberStatus.LEFT);
                spread(entry, TrafficClass.URGENT, false);
            }
            case ALIVE -> {
                boolean refuted = entry.mStatus != MemberStatus.ALIVE;
                setStatus(nowNanos, entry, MemberStatus.ALIVE);
                TrafficClass quiet = ownership ? TrafficClass.STATE : TrafficClass.LOAD;
                spread(entry, refuted ? TrafficClass.URGENT : quiet, restarted);
            }
            default -> {
                setStatus(nowNanos, entry, MemberStatus.ALIVE);
                applyDoubt(nowNanos, entry, news.status());
            }
        }
    }

    /** A death that others report is confirmed by a suspicion of half the length. */
    private void applyDoubt(long nowNanos, MemberEntry entry, MemberStatus reported) {
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
        entry.mProlonged = false;
        entry.mDeadlineNanos = nowNanos + lengthNanos;
        mNextDeadlineNanos = Math.min(mNextDeadlineNanos, entry.mDeadlineNanos);
        mLastSuspect = entry;
        spread(entry, TrafficClass.URGENT, false);
    }

    private void endSuspicion(long nowNanos, MemberEntry entry) {
        Group zone = group(nowNanos, other -> other.mInfo.zone().equals(entry.mInfo.zone()));
        Group region = group(nowNanos, other -> other.mInfo.region().equals(entry.mInfo.region()));
        Group fleet = group(nowNanos, other -> true);
        boolean cut =
                mRules.isGroupUnreachable(zone.unreachable(), zone.total())
                        || mRules.isGroupUnreachable(region.unreachable(), region.total())
                        || mRules.isIsolated(fleet.unreachable(), fleet.total());
        if (cut) {
            enter(nowNanos, entry, MemberStatus.UNREACHABLE);
            updateCuts(nowNanos);
            return;
        }
        if (zone.unreachable() >= 2 && !entry.mProlonged) {
            // A second suspect in the zone may be the start of a cut: wait for more evidence.
            entry.mProlonged = true;
            entry.mDeadlineNanos = nowNanos + mSuspicionNanos / 2;
            return;
        }
        enter(nowNanos, entry, MemberStatus.DEAD);
        spread(entry, TrafficClass.URGENT, false);
    }

    private void updateCuts(long nowNanos) {
        Set<String> zones = cutNames(nowNanos, entry -> entry.mInfo.zone().value());
        Set<String> regions = cutNames(nowNanos, entry -> entry.mInfo.region());
        Group fleet = group(nowNanos, entry -> true);
        boolean isolated = mRules.isIsolated(fleet.unreachable(), fleet.total());
        mChanged |= !zones.equals(mZonesCut) || !regions.equals(mRegionsCut);
        mChanged |= isolated != mIsolated;
        mZonesCut = zones;
        mRegionsCut = regions;
        mIsolated = isolated;
        for (MemberEntry entry : mMembers.values()) {
            boolean cut =
                    isolated
                            || zones.contains(entry.mInfo.zone().value())
                            || regions.contains(entry.mInfo.region());
            reclassify(nowNanos, entry, cut);
        }
    }

    private void reclassify(long nowNanos, MemberEntry entry, boolean cut) {
        long ageNanos = nowNanos - entry.mSinceNanos;
        if (cut && isRecentlyDead(nowNanos, entry)) {
            enter(nowNanos, entry, MemberStatus.UNREACHABLE);
        } else if (entry.mStatus == MemberStatus.UNREACHABLE && !cut) {
            startSuspicion(nowNanos, entry, mSuspicionNanos);
        } else if (entry.mStatus == MemberStatus.UNREACHABLE && ageNanos > MAX_UNREACHABLE_NANOS) {
            enter(nowNanos, entry, MemberStatus.DEAD);
        }
    }

    private Set<String> cutNames(long nowNanos, Function<MemberEntry, String> name) {
        Set<String> cut = new TreeSet<>();
        Set<String> seen = new TreeSet<>();
        for (MemberEntry entry : mMembers.values()) {
            boolean doubtful = !entry.mStatus.equals(MemberStatus.ALIVE);
            if (!doubtful || !seen.add(name.apply(entry))) {
                continue;
            }
            String wanted = name.apply(entry);
            Group group = group(nowNanos, other -> name.apply(other).equals(wanted));
            if (group.confirmed()
                    && mRules.isGroupUnreachable(group.unreachable(), group.total())) {
                cut.add(wanted);
            }
        }
        return cut;
    }

    private Group group(long nowNanos, Predicate<MemberEntry> filter) {
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
        return new Group(unreachable, total, confirmed);
    }

    private boolean isRecentlyDead(long nowNanos, MemberEntry entry) {
        return entry.mStatus == MemberStatus.DEAD && nowNanos - entry.mSinceNanos < mSuspicionNanos;
    }

    private void applyToSelf(News news) {
        boolean newer = news.incarnation().compareTo(mSelf.mIncarnation) > 0;
        boolean doubted =
                news.incarnation().equals(mSelf.mIncarnation)
                        && news.status() != mSelf.mStatus
                        && news.status() != MemberStatus.ALIVE;
        boolean old = !newer && news.status() != MemberStatus.ALIVE;
        mDoubted |= newer || doubted || old;
        if ((newer || doubted) && mRules.refutes()) {
            bumpSelf(news.incarnation().next(), TrafficClass.URGENT);
        }
    }

    private void bumpSelf(Version incarnation, TrafficClass trafficClass) {
        boolean restarted = incarnation.epoch() != mSelf.mIncarnation.epoch();
        mSelf.mIncarnation = incarnation;
        mDigest.put(mSelf.mShortId, incarnation);
        mChanged = true;
        spread(mSelf, trafficClass, restarted);
    }

    private void enter(long nowNanos, MemberEntry entry, MemberStatus status) {
        setStatus(nowNanos, entry, status);
        mChanged = true;
    }

    private void setStatus(long nowNanos, MemberEntry entry, MemberStatus status) {
        if (entry.mStatus == status) {
            return;
        }
        if (entry.mStatus == MemberStatus.DEAD && status == MemberStatus.ALIVE) {
            countFlap(nowNanos, entry);
        }
        entry.mStatus = status;
        entry.mSinceNanos = nowNanos;
        mChanged = true;
    }

    private void countFlap(long nowNanos, MemberEntry entry) {
        boolean forgotten = nowNanos - entry.mLastFlapNanos > FLAP_MEMORY_NANOS;
        entry.mFlaps = forgotten ? 1 : entry.mFlaps + 1;
        entry.mLastFlapNanos = nowNanos;
        entry.mTrustedAtNanos = nowNanos + mRules.trustDelayNanos(entry.mFlaps);
    }

    private void spread(MemberEntry entry, TrafficClass trafficClass, boolean full) {
        News news = entry.news();
        if (full) {
            MemberEntry held = entry;
            mRumors.add(
                    trafficClass,
                    false,
                    entry.mShortId,
                    GossipCodec.toFull(news, held.mInfo),
                    mTransmits);
        } else {
            mRumors.add(trafficClass, false, entry.mShortId, GossipCodec.toBrief(news), mTransmits);
        }
    }

    private record Group(int unreachable, int total, boolean confirmed) {}
}
