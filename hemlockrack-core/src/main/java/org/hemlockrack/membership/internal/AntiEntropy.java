package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.thrift.TBase;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.wire.EntryVersion;
import org.hemlockrack.wire.GossipKind;
import org.jspecify.annotations.Nullable;

/**
 * Repairs what lost messages left out: root digests differ, then bucket digests, then the versions
 * in the buckets that differ, then the entries themselves.
 */
final class AntiEntropy {
    /** Messages with entries that answer one request; the rest waits for the next comparison. */
    private static final int MAX_ANSWERS = 4;

    /**
     * Most members, and entries of each, that are remembered for later. Without this memory an
     * answer that came after a list of versions never had budget left, and a restarted instance
     * lacked two servers for good.
     */
    private static final int MAX_OWED = 32;

    /** Entries in an answer from which on the comparison goes on at once. */
    private static final int BULK_ENTRIES = 2;

    /** An answer has several messages; only one of them starts the next comparison. */
    private static final long BULK_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final Digest mDigest;
    private final MemberTable mMembers;
    private final Directory mDirectory;
    private final FactTable mFacts;
    private final Sender mSender;
    private final RandomGenerator mRandom;
    private final Map<Long, Set<Long>> mOwed = new LinkedHashMap<>();
    private long mNextCompareNanos = Long.MIN_VALUE;
    private long mNextBulkNanos = Long.MIN_VALUE;

    AntiEntropy(
            Digest digest,
            MemberTable members,
            Directory directory,
            FactTable facts,
            Sender sender,
            RandomGenerator random) {
        mDigest = digest;
        mMembers = members;
        mDirectory = directory;
        mFacts = facts;
        mSender = sender;
        mRandom = random;
    }

    /** Handles the anti-entropy part of a message. */
    void onMessage(
            long nowNanos,
            MemberEntry sender,
            Message message,
            long periodNanos,
            Consumer<? super MembershipOutput> out) {
        switch (message.kind()) {
            case BUCKETS -> onBuckets(nowNanos, sender, message, out);
            case ENTRIES -> onEntries(nowNanos, sender, message, out);
            case WANT -> sendEntries(nowNanos, sender, message.wants(), out);
            default -> compare(nowNanos, sender, message, periodNanos, out);
        }
    }

    private void compare(
            long nowNanos,
            MemberEntry sender,
            Message message,
            long periodNanos,
            Consumer<? super MembershipOutput> out) {
        if (!isDue(nowNanos, message)) {
            return;
        }
        mNextCompareNanos = nowNanos + periodNanos;
        mNextBulkNanos = nowNanos + BULK_GAP_NANOS;
        Outgoing buckets = mSender.open(nowNanos, sender.id(), GossipKind.BUCKETS);
        long salt = mRandom.nextInt(1 << 14);
        buckets.gossip().setSequence(salt);
        buckets.gossip().setBuckets(mDigest.buckets(salt));
        mSender.send(nowNanos, TrafficClass.STATE, sender, buckets, out);
    }

    /**
     * Returns whether to compare now. After an answer with many entries more are likely to be
     * missing, so the comparison goes on with the same member: at two periods per comparison, 330
     * instances that started together took 156 s to know each other.
     */
    private boolean isDue(long nowNanos, Message message) {
        boolean answer = message.kind() == GossipKind.NEWS && message.rootDigest() == 0;
        int entries = message.members().size() + message.backends().size();
        if (answer) {
            return entries >= BULK_ENTRIES && nowNanos >= mNextBulkNanos;
        }
        // Only the side that pinged compares: when both sent their bucket digests, neither had
        // budget left to answer, and a restarted instance learned nothing for 120 s.
        boolean same = message.kind() != GossipKind.ACK || message.rootDigest() == mDigest.root();
        return !same && nowNanos >= mNextCompareNanos;
    }

    private void onBuckets(
            long nowNanos,
            MemberEntry sender,
            Message message,
            Consumer<? super MembershipOutput> out) {
        if (message.buckets().size() != Digest.BUCKETS) {
            return;
        }
        List<Long> lacking = new ArrayList<>();
        Outgoing answer = mSender.open(nowNanos, sender.id(), GossipKind.ENTRIES);
        int offset = mRandom.nextInt(Digest.BUCKETS);
        for (int i = 0; i < Digest.BUCKETS; i++) {
            int bucket = (offset + i) % Digest.BUCKETS;
            int theirs = message.buckets().get(bucket);
            if (theirs == mDigest.bucket(bucket, message.sequence())) {
                continue;
            }
            if (theirs == 0) {
                lacking.addAll(mDigest.entries(bucket).keySet());
            } else if (!listBucket(answer, bucket)) {
                break;
            }
        }
        sendEntries(nowNanos, sender, lacking, out);
        if (answer.items() > 0) {
            mSender.send(nowNanos, TrafficClass.STATE, sender, answer, out);
        }
    }

    /** Lists a bucket; names it as complete only if all its entries fit. */
    private boolean listBucket(Outgoing answer, int bucket) {
        for (Map.Entry<Long, Version> entry : mDigest.entries(bucket).entrySet()) {
            EntryVersion item = GossipCodec.toWire(new EntryKey(entry.getKey(), entry.getValue()));
            if (!answer.tryAdd(TrafficClass.STATE, item, GossipCodec.encode(item).length)) {
                return false;
            }
        }
        return answer.tryAddBucket(bucket);
    }

    private void onEntries(
            long nowNanos,
            MemberEntry sender,
            Message message,
            Consumer<? super MembershipOutput> out) {
        Map<Long, Version> theirs = new HashMap<>();
        message.entries().forEach(entry -> theirs.put(entry.shortId(), entry.version()));
        Set<Long> newerHere = new HashSet<>();
        Set<Long> newerThere = new HashSet<>();
        for (Map.Entry<Long, Version> entry : theirs.entrySet()) {
            Version own = versionOf(entry.getKey());
            if (own == null || own.compareTo(entry.getValue()) < 0) {
                newerThere.add(entry.getKey());
            } else if (own.compareTo(entry.getValue()) > 0) {
                newerHere.add(entry.getKey());
            }
        }
        for (int bucket : message.buckets()) {
            if (bucket < 0 || bucket >= Digest.BUCKETS) {
                continue;
            }
            for (long shortId : mDigest.entries(bucket).keySet()) {
                if (!theirs.containsKey(shortId)) {
                    newerHere.add(shortId);
                }
            }
        }
        sendEntries(nowNanos, sender, newerHere, out);
        mSender.want(nowNanos, sender, newerThere, out);
    }

    /** Returns the held version, also of entries that are no longer in the digest. */
    private @Nullable Version versionOf(long shortId) {
        MemberEntry member = mMembers.get(shortId);
        if (member != null) {
            return member.mIncarnation;
        }
        BackendEntry backend = mDirectory.get(shortId);
        if (backend != null) {
            return backend.mBackend.version();
        }
        Fact fact = mFacts.get(shortId);
        return fact == null ? null : Version.of(fact.version(), 0);
    }

    private @Nullable TBase<?, ?> wireOf(long shortId) {
        MemberEntry member = mMembers.get(shortId);
        if (member != null) {
            return GossipCodec.toFull(member.news(), member.mInfo);
        }
        BackendEntry backend = mDirectory.get(shortId);
        if (backend != null) {
            return GossipCodec.toWire(backend.mBackend);
        }
        Fact fact = mFacts.get(shortId);
        return fact == null ? null : GossipCodec.toWire(fact);
    }

    /** Sends what earlier answers had no budget left for. */
    void flush(long nowNanos, Consumer<? super MembershipOutput> out) {
        Map<Long, Set<Long>> owed = new LinkedHashMap<>(mOwed);
        mOwed.clear();
        for (Map.Entry<Long, Set<Long>> entry : owed.entrySet()) {
            MemberEntry target = mMembers.get(entry.getKey());
            if (target != null && target.mStatus.isReachable()) {
                sendEntries(nowNanos, target, entry.getValue(), out);
            }
        }
    }

    /** Sends entries as the budget allows; the rest waits for {@link #flush}. */
    void sendEntries(
            long nowNanos,
            MemberEntry target,
            Iterable<Long> shortIds,
            Consumer<? super MembershipOutput> out) {
        Outgoing message = mSender.open(nowNanos, target.id(), GossipKind.NEWS);
        int sent = 0;
        for (long shortId : shortIds) {
            TBase<?, ?> item = wireOf(shortId);
            if (item == null) {
                continue;
            }
            int bytes = GossipCodec.encode(item).length;
            if (message.tryAdd(TrafficClass.STATE, item, bytes)) {
                continue;
            }
            if (message.items() > 0 && sent < MAX_ANSWERS) {
                mSender.send(nowNanos, TrafficClass.STATE, target, message, out);
                sent++;
                message = mSender.open(nowNanos, target.id(), GossipKind.NEWS);
            }
            if (sent >= MAX_ANSWERS || !message.tryAdd(TrafficClass.STATE, item, bytes)) {
                owe(target, shortId);
            }
        }
        if (message.items() > 0) {
            mSender.send(nowNanos, TrafficClass.STATE, target, message, out);
        }
    }

    private void owe(MemberEntry target, long shortId) {
        if (mOwed.size() >= MAX_OWED && !mOwed.containsKey(target.mShortId)) {
            return;
        }
        Set<Long> ids = mOwed.computeIfAbsent(target.mShortId, key -> new LinkedHashSet<>());
        if (ids.size() < MAX_OWED) {
            ids.add(shortId);
        }
    }
}
