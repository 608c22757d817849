package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.jspecify.annotations.Nullable;

/** Directory of the backend servers. The owner of a server publishes its entry by gossip. */
final class BackendTable {
    /**
     * How long a server stays listed after its owner is gone, so that the next owner has time to
     * publish it.
     */
    static final long OWNER_GRACE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Maximum number of entries; limits the memory that peers can make this process use. */
    static final int MAX_BACKENDS = 4_096;

    /**
     * Maximum size of an entry; it must fit into a message of class STATE under the default budget.
     */
    static final int MAX_ENTRY_BYTES = 340;

    /** Minimum time between two published loads of one server. */
    private static final long MIN_LOAD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a load is published again although it has not changed much. */
    private static final long LOAD_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Smallest change of the number of requests in flight that is published. */
    private static final int MIN_LOAD_CHANGE = 2;

    /** A change must also be at least the last published value divided by this number. */
    private static final int LOAD_CHANGE_DIVISOR = 4;

    /**
     * Number of low bits of an entry's version counter that are a hash of the owner and its start
     * incarnation, so that two owners that publish the same revision do not produce equal versions.
     * The start incarnation is included because a restarted owner counts from 1 again until it has
     * received its earlier entries (seed 387).
     */
    private static final int OWNER_BITS = 24;

    private final Map<Long, BackendEntry> mEntries = new LinkedHashMap<>();
    private final Map<ServiceId, long[]> mServiceTotals = new HashMap<>();
    private final InstanceId mSelf;
    private final GossipRules mRules;
    private final BucketDigests mDigests;
    private final RumorQueue mRumors;
    private final long mOwnerBits;
    private boolean mChanged;
    private int mTransmits = 4;

    BackendTable(
            InstanceId self,
            long start,
            GossipRules rules,
            BucketDigests digests,
            RumorQueue rumors) {
        mSelf = self;
        mRules = rules;
        mDigests = digests;
        mRumors = rumors;
        mOwnerBits = ShortIds.member(self.value() + "\n" + start) & ((1 << OWNER_BITS) - 1);
    }

    void setTransmits(int transmits) {
        mTransmits = transmits;
    }

    Collection<BackendEntry> entries() {
        return mEntries.values();
    }

    @Nullable BackendEntry get(long shortId) {
        return mEntries.get(shortId);
    }

    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Returns the mean number of requests in flight per server of a service, 0 if it has no
     * servers.
     */
    double meanInFlight(ServiceId service) {
        long[] sum = mServiceTotals.get(service);
        return sum == null || sum[1] == 0 ? 0 : (double) sum[0] / sum[1];
    }

    int inFlight(BackendId id) {
        BackendEntry entry = mEntries.get(ShortIds.backend(id.value()));
        return entry == null ? 0 : entry.mInFlight;
    }

    /** Applies the announcement of a server that this instance owns. */
    void applyAnnouncement(long nowNanos, Backend announced, int inFlight) {
        long shortId = ShortIds.backend(announced.id().value());
        BackendEntry entry = mEntries.get(shortId);
        long epoch = announced.version().epoch();
        if (entry != null && entry.mBackend.version().epoch() > epoch) {
            return;
        }
        Backend ownedBackend = withSelfAsOwner(announced);
        boolean changed = entry == null || entry.isGone();
        changed =
                changed
                        || !ownedBackend
                                .withVersion(entry.mBackend.version())
                                .equals(entry.mBackend);
        changed = changed || entry.mBackend.version().epoch() != epoch;
        if (changed) {
            Backend next = ownedBackend.withVersion(nextVersion(entry, epoch));
            requireFits(next);
            entry = store(nowNanos, shortId, next);
        }
        if (entry != null) {
            updateLoad(nowNanos, entry, inFlight);
        }
    }

    /** Marks an owned server as gone. */
    void markGone(long nowNanos, BackendId id) {
        long shortId = ShortIds.backend(id.value());
        BackendEntry entry = mEntries.get(shortId);
        if (entry == null || entry.isGone() || !entry.mBackend.owner().equals(mSelf)) {
            return;
        }
        Version version = nextVersion(entry, entry.mBackend.version().epoch());
        store(nowNanos, shortId, entry.mBackend.withState(BackendState.GONE).withVersion(version));
    }

    /** Applies an entry received from another instance; returns whether it was newer. */
    boolean apply(long nowNanos, Backend received) {
        long shortId = ShortIds.backend(received.id().value());
        BackendEntry entry = mEntries.get(shortId);
        if (entry == null && mEntries.size() >= MAX_BACKENDS) {
            return false;
        }
        if (entry != null && !mRules.supersedes(entry.mBackend.version(), received.version())) {
            return false;
        }
        if (entry != null && entry.mBackend.equals(received)) {
            return false;
        }
        store(nowNanos, shortId, received);
        return true;
    }

    /** Returns whether a received entry is older than the stored one. */
    boolean isOutdated(Backend received) {
        BackendEntry entry = mEntries.get(ShortIds.backend(received.id().value()));
        return entry != null && entry.mBackend.version().compareTo(received.version()) > 0;
    }

    /** Applies a load received from another instance if it is newer, and gossips it further. */
    void applyLoad(BackendLoad load) {
        BackendEntry entry = mEntries.get(load.shortId());
        if (entry == null || !mRules.supersedes(entry.mLoadVersion, load.version())) {
            return;
        }
        if (entry.mLoadVersion.equals(load.version())) {
            return;
        }
        entry.mLoadVersion = load.version();
        setInFlight(entry, load.inFlight());
        queueLoadRumor(load);
    }

    /**
     * Expires servers whose owners are gone, and removes servers that have been gone for a long
     * time.
     */
    void sweep(long nowNanos, MemberTable members) {
        List<BackendEntry> removable = new ArrayList<>();
        for (BackendEntry entry : mEntries.values()) {
            updateExpiry(nowNanos, entry, members);
            long goneNanos = entry.isGone() ? nowNanos - entry.mGoneSinceNanos : 0;
            if (goneNanos > MemberTable.RETAIN_NANOS) {
                mDigests.put(entry.mShortId, null);
            }
            if (goneNanos > 2 * MemberTable.RETAIN_NANOS) {
                removable.add(entry);
            }
        }
        for (BackendEntry entry : removable) {
            mEntries.remove(entry.mShortId);
            mChanged = true;
        }
    }

    /** Expires a server if its owner has been gone for longer than the grace period. */
    private void updateExpiry(long nowNanos, BackendEntry entry, MemberTable members) {
        if (entry.mBackend.state() == BackendState.GONE) {
            return;
        }
        MemberEntry owner = members.get(entry.mBackend.owner());
        if (owner != null && !owner.isGone()) {
            entry.mGoneSinceNanos = Long.MAX_VALUE;
            setOwnerExpired(entry, false);
            return;
        }
        entry.mGoneSinceNanos = Math.min(entry.mGoneSinceNanos, nowNanos);
        setOwnerExpired(entry, nowNanos - entry.mGoneSinceNanos > OWNER_GRACE_NANOS);
    }

    private void setOwnerExpired(BackendEntry entry, boolean expired) {
        if (entry.mOwnerExpired == expired) {
            return;
        }
        addToTotals(entry, -1);
        entry.mOwnerExpired = expired;
        addToTotals(entry, 1);
        mChanged = true;
    }

    private Backend withSelfAsOwner(Backend announced) {
        return new Backend(
                announced.id(),
                announced.service(),
                announced.models(),
                announced.zone(),
                announced.address(),
                announced.state(),
                announced.limit(),
                announced.checksFencing(),
                mSelf,
                announced.version());
    }

    /**
     * Returns the version of the next revision of an entry, with the hash of this owner in the low
     * bits.
     */
    private Version nextVersion(@Nullable BackendEntry entry, long epoch) {
        boolean sameEpoch = entry != null && entry.mBackend.version().epoch() == epoch;
        long revision = sameEpoch ? entry.mBackend.version().counter() >>> OWNER_BITS : 0;
        return Version.of(epoch, (revision + 1) << OWNER_BITS | mOwnerBits);
    }

    private static void requireFits(Backend backend) {
        int bytes = GossipCodec.encode(GossipCodec.toWire(backend)).length;
        if (bytes > MAX_ENTRY_BYTES) {
            String text =
                    String.format(
                            ErrorText.BACKEND_ENTRY_TOO_LARGE,
                            backend.id(),
                            bytes,
                            MAX_ENTRY_BYTES);
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, text);
        }
    }

    private BackendEntry store(long nowNanos, long shortId, Backend backend) {
        BackendEntry entry = mEntries.get(shortId);
        if (entry == null) {
            entry = new BackendEntry(shortId, backend);
            mEntries.put(shortId, entry);
        } else {
            addToTotals(entry, -1);
            entry.mBackend = backend;
        }
        boolean isGone = backend.state() == BackendState.GONE;
        entry.mGoneSinceNanos = isGone ? nowNanos : Long.MAX_VALUE;
        entry.mOwnerExpired = false;
        addToTotals(entry, 1);
        mDigests.put(shortId, backend.version());
        mChanged = true;
        TrafficClass trafficClass =
                backend.state().acceptsRequests() ? TrafficClass.STATE : TrafficClass.URGENT;
        mRumors.add(trafficClass, false, shortId, GossipCodec.toWire(backend), mTransmits);
        return entry;
    }

    /**
     * Stores the load of an owned server, and publishes it if it has changed enough or is due for
     * repetition.
     */
    private void updateLoad(long nowNanos, BackendEntry entry, int inFlight) {
        setInFlight(entry, inFlight);
        long sincePublishedNanos =
                entry.mPublishedAtNanos == Long.MIN_VALUE
                        ? LOAD_REPEAT_NANOS
                        : nowNanos - entry.mPublishedAtNanos;
        int change = Math.abs(inFlight - entry.mPublishedInFlight);
        boolean isSignificant =
                change >= Math.max(MIN_LOAD_CHANGE, entry.mPublishedInFlight / LOAD_CHANGE_DIVISOR);
        boolean isRepeatDue =
                sincePublishedNanos >= LOAD_REPEAT_NANOS && (inFlight > 0 || change > 0);
        if (sincePublishedNanos < MIN_LOAD_INTERVAL_NANOS || !isSignificant && !isRepeatDue) {
            return;
        }
        long epoch = entry.mBackend.version().epoch();
        boolean sameEpoch = entry.mLoadVersion.epoch() == epoch;
        long sequence = sameEpoch ? entry.mLoadVersion.counter() + 1 : 1;
        entry.mLoadVersion = Version.of(epoch, sequence);
        entry.mPublishedInFlight = inFlight;
        entry.mPublishedAtNanos = nowNanos;
        queueLoadRumor(new BackendLoad(entry.mShortId, entry.mLoadVersion, inFlight));
    }

    private void queueLoadRumor(BackendLoad load) {
        int transmits = Math.max(2, mTransmits / 2);
        mRumors.add(TrafficClass.LOAD, true, load.shortId(), GossipCodec.toWire(load), transmits);
    }

    private void setInFlight(BackendEntry entry, int inFlight) {
        addToTotals(entry, -1);
        entry.mInFlight = inFlight;
        addToTotals(entry, 1);
    }

    /** Adds a server to the totals of its service (sign 1) or removes it (sign -1). */
    private void addToTotals(BackendEntry entry, int sign) {
        if (entry.isGone()) {
            return;
        }
        long[] sum = mServiceTotals.computeIfAbsent(entry.mBackend.service(), key -> new long[2]);
        sum[0] += (long) sign * entry.mInFlight;
        sum[1] += sign;
    }
}
