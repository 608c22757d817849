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

/** The backend servers, spread by their owners. */
final class Directory {
    /**
     * How long a server stays listed after its owner is gone, so that the next owner can report.
     */
    static final long OWNER_GRACE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Most servers held; bounds what peers can make this process store. */
    static final int MAX_BACKENDS = 4_096;

    /** Longest entry; it must fit into a message of class STATE under the default budget. */
    static final int MAX_ENTRY_BYTES = 340;

    /** Shortest time between two loads of one server, and the time after which it is repeated. */
    private static final long LOAD_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long LOAD_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** Smallest change of in-flight work that is spread, and the same as a part of the last one. */
    private static final int LOAD_STEP = 2;

    private static final int LOAD_PART = 4;

    /**
     * Low bits of an entry's counter are a hash of the owner and its start, so that two owners that
     * write the same revision do not produce equal versions. The start is needed because an owner
     * that restarts counts from 1 again until it has learned its earlier entries (seed 387).
     */
    private static final int OWNER_BITS = 24;

    private final Map<Long, BackendEntry> mEntries = new LinkedHashMap<>();
    private final Map<ServiceId, long[]> mSums = new HashMap<>();
    private final InstanceId mSelf;
    private final GossipRules mRules;
    private final Digest mDigest;
    private final RumorQueue mRumors;
    private final long mOwnerBits;
    private boolean mChanged;
    private int mTransmits = 4;

    Directory(InstanceId self, long start, GossipRules rules, Digest digest, RumorQueue rumors) {
        mSelf = self;
        mRules = rules;
        mDigest = digest;
        mRumors = rumors;
        mOwnerBits = ShortIds.member(self.value() + "\n" + start) & ((1 << OWNER_BITS) - 1);
    }

    void tune(int transmits) {
        mTransmits = transmits;
    }

    Collection<BackendEntry> all() {
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

    /** Returns the mean in-flight work per server of a service, 0 if it has none. */
    double meanInFlight(ServiceId service) {
        long[] sum = mSums.get(service);
        return sum == null || sum[1] == 0 ? 0 : (double) sum[0] / sum[1];
    }

    int inFlight(BackendId id) {
        BackendEntry entry = mEntries.get(ShortIds.backend(id.value()));
        return entry == null ? 0 : entry.mInFlight;
    }

    /** Takes over what a server announced to this instance. */
    void announce(long nowNanos, Backend announced, int inFlight) {
        long shortId = ShortIds.backend(announced.id().value());
        BackendEntry entry = mEntries.get(shortId);
        long epoch = announced.version().epoch();
        if (entry != null && entry.mBackend.version().epoch() > epoch) {
            return;
        }
        Backend own = owned(announced);
        boolean changed = entry == null || entry.isGone();
        changed = changed || !own.withVersion(entry.mBackend.version()).equals(entry.mBackend);
        changed = changed || entry.mBackend.version().epoch() != epoch;
        if (changed) {
            Backend next = own.withVersion(nextVersion(entry, epoch));
            requireFits(next);
            entry = store(nowNanos, shortId, next);
        }
        if (entry != null) {
            updateLoad(nowNanos, entry, inFlight);
        }
    }

    /** Marks an owned server as gone. */
    void gone(long nowNanos, BackendId id) {
        long shortId = ShortIds.backend(id.value());
        BackendEntry entry = mEntries.get(shortId);
        if (entry == null || entry.isGone() || !entry.mBackend.owner().equals(mSelf)) {
            return;
        }
        Version version = nextVersion(entry, entry.mBackend.version().epoch());
        store(nowNanos, shortId, entry.mBackend.withState(BackendState.GONE).withVersion(version));
    }

    /** Takes over news of another instance; returns whether it was newer. */
    boolean apply(long nowNanos, Backend news) {
        long shortId = ShortIds.backend(news.id().value());
        BackendEntry entry = mEntries.get(shortId);
        if (entry == null && mEntries.size() >= MAX_BACKENDS) {
            return false;
        }
        if (entry != null && !mRules.supersedes(entry.mBackend.version(), news.version())) {
            return false;
        }
        if (entry != null && entry.mBackend.equals(news)) {
            return false;
        }
        store(nowNanos, shortId, news);
        return true;
    }

    /** Returns whether a newer entry is held than the news. */
    boolean isOutdated(Backend news) {
        BackendEntry entry = mEntries.get(ShortIds.backend(news.id().value()));
        return entry != null && entry.mBackend.version().compareTo(news.version()) > 0;
    }

    void applyLoad(Load load) {
        BackendEntry entry = mEntries.get(load.shortId());
        if (entry == null || !mRules.supersedes(entry.mLoadVersion, load.version())) {
            return;
        }
        if (entry.mLoadVersion.equals(load.version())) {
            return;
        }
        entry.mLoadVersion = load.version();
        setInFlight(entry, load.inFlight());
        spreadLoad(load);
    }

    /** Expires servers whose owners are gone and forgets the long gone. */
    void sweep(long nowNanos, MemberTable members) {
        List<BackendEntry> forgotten = new ArrayList<>();
        for (BackendEntry entry : mEntries.values()) {
            expire(nowNanos, entry, members);
            long goneNanos = entry.isGone() ? nowNanos - entry.mGoneSinceNanos : 0;
            if (goneNanos > MemberTable.RETAIN_NANOS) {
                mDigest.put(entry.mShortId, null);
            }
            if (goneNanos > 2 * MemberTable.RETAIN_NANOS) {
                forgotten.add(entry);
            }
        }
        for (BackendEntry entry : forgotten) {
            mEntries.remove(entry.mShortId);
            mChanged = true;
        }
    }

    private void expire(long nowNanos, BackendEntry entry, MemberTable members) {
        if (entry.mBackend.state() == BackendState.GONE) {
            return;
        }
        MemberEntry owner = members.get(entry.mBackend.owner());
        if (owner != null && !owner.isGone()) {
            entry.mGoneSinceNanos = Long.MAX_VALUE;
            setExpired(entry, false);
            return;
        }
        entry.mGoneSinceNanos = Math.min(entry.mGoneSinceNanos, nowNanos);
        setExpired(entry, nowNanos - entry.mGoneSinceNanos > OWNER_GRACE_NANOS);
    }

    private void setExpired(BackendEntry entry, boolean expired) {
        if (entry.mExpired == expired) {
            return;
        }
        account(entry, -1);
        entry.mExpired = expired;
        account(entry, 1);
        mChanged = true;
    }

    private Backend owned(Backend announced) {
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

    private Version nextVersion(@Nullable BackendEntry entry, long epoch) {
        boolean same = entry != null && entry.mBackend.version().epoch() == epoch;
        long revision = same ? entry.mBackend.version().counter() >>> OWNER_BITS : 0;
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
            account(entry, -1);
            entry.mBackend = backend;
        }
        boolean gone = backend.state() == BackendState.GONE;
        entry.mGoneSinceNanos = gone ? nowNanos : Long.MAX_VALUE;
        entry.mExpired = false;
        account(entry, 1);
        mDigest.put(shortId, backend.version());
        mChanged = true;
        TrafficClass trafficClass =
                backend.state().takesWork() ? TrafficClass.STATE : TrafficClass.URGENT;
        mRumors.add(trafficClass, false, shortId, GossipCodec.toWire(backend), mTransmits);
        return entry;
    }

    private void updateLoad(long nowNanos, BackendEntry entry, int inFlight) {
        setInFlight(entry, inFlight);
        long silentNanos =
                entry.mSpreadAtNanos == Long.MIN_VALUE
                        ? LOAD_REPEAT_NANOS
                        : nowNanos - entry.mSpreadAtNanos;
        int change = Math.abs(inFlight - entry.mSpreadInFlight);
        boolean matters = change >= Math.max(LOAD_STEP, entry.mSpreadInFlight / LOAD_PART);
        boolean repeat = silentNanos >= LOAD_REPEAT_NANOS && (inFlight > 0 || change > 0);
        if (silentNanos < LOAD_GAP_NANOS || !matters && !repeat) {
            return;
        }
        long epoch = entry.mBackend.version().epoch();
        boolean same = entry.mLoadVersion.epoch() == epoch;
        long sequence = same ? entry.mLoadVersion.counter() + 1 : 1;
        entry.mLoadVersion = Version.of(epoch, sequence);
        entry.mSpreadInFlight = inFlight;
        entry.mSpreadAtNanos = nowNanos;
        spreadLoad(new Load(entry.mShortId, entry.mLoadVersion, inFlight));
    }

    private void spreadLoad(Load load) {
        int times = Math.max(2, mTransmits / 2);
        mRumors.add(TrafficClass.LOAD, true, load.shortId(), GossipCodec.toWire(load), times);
    }

    private void setInFlight(BackendEntry entry, int inFlight) {
        account(entry, -1);
        entry.mInFlight = inFlight;
        account(entry, 1);
    }

    private void account(BackendEntry entry, int sign) {
        if (entry.isGone()) {
            return;
        }
        long[] sum = mSums.computeIfAbsent(entry.mBackend.service(), key -> new long[2]);
        sum[0] += (long) sign * entry.mInFlight;
        sum[1] += sign;
    }
}
