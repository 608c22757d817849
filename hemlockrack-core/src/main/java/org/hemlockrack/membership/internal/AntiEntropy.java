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
 * Repairs differences that remain after lost messages. Two members compare their root digests, then
 * the bucket digests, then the entry versions in the buckets that differ, and finally send each
 * other the newer entries.
 */
final class AntiEntropy {
    /**
     * Maximum number of messages with entries in reply to one request; further entries are
     * deferred.
     */
    private static final int MAX_REPLY_MESSAGES = 4;

    /**
     * Maximum number of members with deferred entries, and of deferred entries for each. Without
     * deferred entries, a reply that followed a list of versions never had budget left, and a
     * restarted instance never received two of the servers.
     */
    private static final int MAX_DEFERRED = 32;

    /** Number of entries in a reply from which on the comparison continues at once. */
    private static final int BULK_ENTRIES = 2;

    /**
     * Minimum time between two such comparisons. A reply may have several messages, and only one of
     * them starts the next comparison.
     */
    private static final long BULK_COMPARE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final BucketDigests mDigests;
    private final MemberTable mMembers;
    private final BackendTable mBackends;
    private final FactTable mFacts;
    private final MessageSender mSender;
    private final RandomGenerator mRandom;
    private final Map<Long, Set<Long>> mDeferred = new LinkedHashMap<>();
    private long mNextCompareNanos = Long.MIN_VALUE;
    private long mNextBulkNanos = Long.MIN_VALUE;

    AntiEntropy(
            BucketDigests digests,
            MemberTable members,
            BackendTable backends,
            FactTable facts,
            MessageSender sender,
            RandomGenerator random) {
        mDigests = digests;
        mMembers = members;
        mBackends = backends;
        mFacts = facts;
        mSender = sender;
        mRandom = random;
    }

    /** Handles the anti-entropy content of a message. */
    void onMessage(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            long periodNanos,
            Consumer<? super MembershipOutput> out) {
        switch (message.kind()) {
            case BUCKETS -> onBuckets(nowNanos, sender, message, out);
            case ENTRIES -> onEntries(nowNanos, sender, message, out);
            case WANT -> sendEntries(nowNanos, sender, message.requestedIds(), out);
            default -> sendBucketDigests(nowNanos, sender, message, periodNanos, out);
        }
    }

    /** Starts a comparison by sending the bucket digests, if one is due after a message. */
    private void sendBucketDigests(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            long periodNanos,
            Consumer<? super MembershipOutput> out) {
        if (!isComparisonDue(nowNanos, message)) {
            return;
        }
        mNextCompareNanos = nowNanos + periodNanos;
        mNextBulkNanos = nowNanos + BULK_COMPARE_INTERVAL_NANOS;
        OutgoingMessage buckets = mSender.newMessage(nowNanos, sender.id(), GossipKind.BUCKETS);
        long salt = mRandom.nextInt(1 << 14);
        buckets.gossip().setSequence(salt);
        buckets.gossip().setBuckets(mDigests.buckets(salt));
        mSender.send(nowNanos, TrafficClass.STATE, sender, buckets, out);
    }

    /**
     * Returns whether to compare now. After a reply with several entries, more entries are likely
     * to be missing, so the comparison continues with the same member: at two periods per
     * comparison, 330 instances that started together needed 156 s to discover each other.
     */
    private boolean isComparisonDue(long nowNanos, GossipMessage message) {
        boolean isReply = message.kind() == GossipKind.NEWS && message.rootDigest() == 0;
        int entries = message.members().size() + message.backends().size();
        if (isReply) {
            return entries >= BULK_ENTRIES && nowNanos >= mNextBulkNanos;
        }
        // Only the member that sent the ping compares. When both sent their bucket digests, neither
        // had budget left to reply, and a restarted instance received no entries for 120 s.
        boolean sameEntries =
                message.kind() != GossipKind.ACK || message.rootDigest() == mDigests.root();
        return !sameEntries && nowNanos >= mNextCompareNanos;
    }

    /**
     * Compares bucket digests. Sends all entries of buckets that are empty at the sender, and the
     * entry versions of other buckets that differ.
     */
    private void onBuckets(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            Consumer<? super MembershipOutput> out) {
        if (message.buckets().size() != BucketDigests.BUCKETS) {
            return;
        }
        List<Long> missingThere = new ArrayList<>();
        OutgoingMessage reply = mSender.newMessage(nowNanos, sender.id(), GossipKind.ENTRIES);
        int offset = mRandom.nextInt(BucketDigests.BUCKETS);
        for (int i = 0; i < BucketDigests.BUCKETS; i++) {
            int bucket = (offset + i) % BucketDigests.BUCKETS;
            int received = message.buckets().get(bucket);
            if (received == mDigests.bucket(bucket, message.sequence())) {
                continue;
            }
            if (received == 0) {
                missingThere.addAll(mDigests.entries(bucket).keySet());
            } else if (!listBucket(reply, bucket)) {
                break;
            }
        }
        sendEntries(nowNanos, sender, missingThere, out);
        if (reply.items() > 0) {
            mSender.send(nowNanos, TrafficClass.STATE, sender, reply, out);
        }
    }

    /**
     * Adds the entry versions of a bucket to a message. The bucket number is added only if all of
     * them fit, and marks the list as complete.
     */
    private boolean listBucket(OutgoingMessage reply, int bucket) {
        for (Map.Entry<Long, Version> entry : mDigests.entries(bucket).entrySet()) {
            EntryVersion item =
                    GossipCodec.toWire(new VersionedKey(entry.getKey(), entry.getValue()));
            if (!reply.tryAdd(TrafficClass.STATE, item, GossipCodec.encode(item).length)) {
                return false;
            }
        }
        return reply.tryAddBucket(bucket);
    }

    /**
     * Compares entry versions. Sends entries that are newer or only present here, and requests
     * those that are newer or only present at the sender.
     */
    private void onEntries(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            Consumer<? super MembershipOutput> out) {
        Map<Long, Version> received = new HashMap<>();
        message.entries().forEach(entry -> received.put(entry.shortId(), entry.version()));
        Set<Long> newerHere = new HashSet<>();
        Set<Long> newerThere = new HashSet<>();
        for (Map.Entry<Long, Version> entry : received.entrySet()) {
            Version ownVersion = versionOf(entry.getKey());
            if (ownVersion == null || ownVersion.compareTo(entry.getValue()) < 0) {
                newerThere.add(entry.getKey());
            } else if (ownVersion.compareTo(entry.getValue()) > 0) {
                newerHere.add(entry.getKey());
            }
        }
        for (int bucket : message.buckets()) {
            if (bucket < 0 || bucket >= BucketDigests.BUCKETS) {
                continue;
            }
            for (long shortId : mDigests.entries(bucket).keySet()) {
                if (!received.containsKey(shortId)) {
                    newerHere.add(shortId);
                }
            }
        }
        sendEntries(nowNanos, sender, newerHere, out);
        mSender.requestEntries(nowNanos, sender, newerThere, out);
    }

    /** Returns the stored version, also of entries that are no longer in the digest. */
    private @Nullable Version versionOf(long shortId) {
        MemberEntry member = mMembers.get(shortId);
        if (member != null) {
            return member.mIncarnation;
        }
        BackendEntry backend = mBackends.get(shortId);
        if (backend != null) {
            return backend.mBackend.version();
        }
        Fact fact = mFacts.get(shortId);
        return fact == null ? null : Version.of(fact.version(), 0);
    }

    private @Nullable TBase<?, ?> entryToWire(long shortId) {
        MemberEntry member = mMembers.get(shortId);
        if (member != null) {
            return GossipCodec.toFull(member.toUpdate(), member.mInfo);
        }
        BackendEntry backend = mBackends.get(shortId);
        if (backend != null) {
            return GossipCodec.toWire(backend.mBackend);
        }
        Fact fact = mFacts.get(shortId);
        return fact == null ? null : GossipCodec.toWire(fact);
    }

    /** Sends the entries for which earlier replies had no budget left. */
    void sendDeferred(long nowNanos, Consumer<? super MembershipOutput> out) {
        Map<Long, Set<Long>> deferred = new LinkedHashMap<>(mDeferred);
        mDeferred.clear();
        for (Map.Entry<Long, Set<Long>> entry : deferred.entrySet()) {
            MemberEntry target = mMembers.get(entry.getKey());
            if (target != null && target.mStatus.isReachable()) {
                sendEntries(nowNanos, target, entry.getValue(), out);
            }
        }
    }

    /**
     * Sends entries as far as the budget allows; the rest is deferred until {@link #sendDeferred}.
     */
    void sendEntries(
            long nowNanos,
            MemberEntry target,
            Iterable<Long> shortIds,
            Consumer<? super MembershipOutput> out) {
        OutgoingMessage message = mSender.newMessage(nowNanos, target.id(), GossipKind.NEWS);
        int sentMessages = 0;
        for (long shortId : shortIds) {
            TBase<?, ?> item = entryToWire(shortId);
            if (item == null) {
                continue;
            }
            int bytes = GossipCodec.encode(item).length;
            if (message.tryAdd(TrafficClass.STATE, item, bytes)) {
                continue;
            }
            if (message.items() > 0 && sentMessages < MAX_REPLY_MESSAGES) {
                mSender.send(nowNanos, TrafficClass.STATE, target, message, out);
                sentMessages++;
                message = mSender.newMessage(nowNanos, target.id(), GossipKind.NEWS);
            }
            if (sentMessages >= MAX_REPLY_MESSAGES
                    || !message.tryAdd(TrafficClass.STATE, item, bytes)) {
                defer(target, shortId);
            }
        }
        if (message.items() > 0) {
            mSender.send(nowNanos, TrafficClass.STATE, target, message, out);
        }
    }

    /** Keeps an entry for {@link #sendDeferred}, unless there are too many. */
    private void defer(MemberEntry target, long shortId) {
        if (mDeferred.size() >= MAX_DEFERRED && !mDeferred.containsKey(target.mShortId)) {
            return;
        }
        Set<Long> ids = mDeferred.computeIfAbsent(target.mShortId, key -> new LinkedHashSet<>());
        if (ids.size() < MAX_DEFERRED) {
            ids.add(shortId);
        }
    }
}
