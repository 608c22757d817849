package org.hemlockrack.membership.internal;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.GossipKind;
import org.jspecify.annotations.Nullable;

/** The gossip protocol of one instance: periodic rounds, probes, replies and anti-entropy. */
public final class GossipProtocol {
    /** Number of members to which urgent rumors are pushed at once. */
    private static final int URGENT_FANOUT = 3;

    /** Maximum number of pushes per period; further urgent rumors wait for the next round. */
    private static final int MAX_PUSHES_PER_PERIOD = 2;

    /**
     * Maximum number of other members of a zone that are probed as soon as one member is suspected.
     */
    private static final int ZONE_PROBES = 3;

    /** One round in this many also pings a seed address whose instance is not known. */
    private static final int ROUNDS_PER_SEED_PING = 3;

    /**
     * Mean number of pings per period that the whole fleet sends to a member that is not reachable.
     * Without a limit for the whole fleet, a returning member spent its whole budget on replies
     * (seed 118).
     */
    private static final double PINGS_PER_UNREACHABLE = 2;

    /** Delay of a timer from which on this process is assumed to have been paused. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MembershipSettings mSettings;
    private final ControlBudget mBudget;
    private final RandomGenerator mRandom;
    private final GossipRules mRules;
    private final BucketDigests mDigests = new BucketDigests();
    private final RumorQueue mRumors;
    private final MemberTable mMembers;
    private final BackendTable mBackends;
    private final FactTable mFacts;
    private final Prober mProber;
    private final AntiEntropy mAntiEntropy;
    private final MessageSender mSender;

    private long mPeriodNanos;
    private long mNextRoundNanos;
    private int mPushes;
    private @Nullable MembershipView mView;

    /** Creates the protocol of one instance; see {@code Membership.create}. */
    public GossipProtocol(
            MembershipSettings settings,
            ControlBudget budget,
            RandomGenerator random,
            GossipRules rules,
            long nowNanos) {
        mSettings = settings;
        mBudget = budget;
        mRandom = random;
        mRules = rules;
        mRumors = new RumorQueue(budget);
        Version start = Version.of(settings.startIncarnation(), 0);
        mMembers = new MemberTable(settings.self(), start, rules, mDigests, mRumors);
        mBackends =
                new BackendTable(
                        settings.self().id(),
                        settings.startIncarnation(),
                        rules,
                        mDigests,
                        mRumors);
        mFacts = new FactTable(rules, mDigests);
        mProber = new Prober(random);
        mSender = new MessageSender(settings.self(), budget, mRumors, mMembers, mDigests);
        mAntiEntropy = new AntiEntropy(mDigests, mMembers, mBackends, mFacts, mSender, random);
        adaptToFleetSize();
        mNextRoundNanos = nowNanos + (long) (random.nextDouble() * mPeriodNanos);
    }

    /** Handles one event. */
    public void onEvent(
            long nowNanos, MembershipInput event, Consumer<? super MembershipOutput> out) {
        if (event instanceof MembershipInput.Received received) {
            onMessage(nowNanos, received, out);
        } else if (event instanceof MembershipInput.BackendAnnounced announced) {
            mBackends.applyAnnouncement(nowNanos, announced.backend(), announced.inFlight());
        } else if (event instanceof MembershipInput.BackendGone gone) {
            mBackends.markGone(nowNanos, gone.id());
        } else if (event instanceof MembershipInput.PublishFact publish) {
            applyFact(publish.fact(), out);
        } else if (event instanceof MembershipInput.SelfChanged self) {
            mMembers.updateSelf(self.ready(), self.draining(), self.configVersion());
        } else if (event instanceof MembershipInput.PeerFailed failed) {
            MemberEntry entry = mMembers.get(failed.id());
            if (entry != null && entry.mStatus.isReachable()) {
                probe(nowNanos, entry, out);
            }
        } else if (event instanceof MembershipInput.Leave) {
            mMembers.leave();
        }
        finishEvent(nowNanos, out);
    }

    /** Handles all timers that are due. */
    public void onTimer(long nowNanos, Consumer<? super MembershipOutput> out) {
        long dueNanos = nextTimerNanos();
        if (nowNanos < dueNanos) {
            return;
        }
        if (mRules.detectsPauses() && nowNanos - dueNanos > PAUSE_NANOS) {
            mProber.clear();
            mMembers.restartSuspicions(nowNanos);
        }
        for (Map.Entry<Long, Prober.Probe> due : mProber.takeDue(nowNanos).entrySet()) {
            onProbeTimeout(nowNanos, due.getKey(), due.getValue(), out);
        }
        mMembers.onTimer(nowNanos);
        if (nowNanos >= mNextRoundNanos) {
            runRound(nowNanos, out);
        }
        finishEvent(nowNanos, out);
    }

    /** Returns when the next timer is due. */
    public long nextTimerNanos() {
        long next = Math.min(mNextRoundNanos, mMembers.nextDeadlineNanos());
        return Math.min(next, mProber.nextDeadlineNanos());
    }

    /** Returns the mean number of requests in flight per server of a service. */
    public double meanInFlight(ServiceId service) {
        return mBackends.meanInFlight(service);
    }

    /** Returns the last known number of requests in flight at a server. */
    public int inFlight(BackendId id) {
        return mBackends.inFlight(id);
    }

    /** Returns the current gossip period. */
    public long periodNanos() {
        return mPeriodNanos;
    }

    /** Returns the number of queued rumors. */
    public int rumorCount() {
        return mRumors.size();
    }

    /** Returns the view. */
    public MembershipView view(long nowNanos) {
        if (mView == null) {
            mView = buildView(nowNanos);
        }
        return mView;
    }

    /**
     * Runs one gossip round: sends deferred entries, probes the next member, and pings members that
     * are not reachable and seeds that are not known.
     */
    private void runRound(long nowNanos, Consumer<? super MembershipOutput> out) {
        adaptToFleetSize();
        // Jitter keeps the instances from running their rounds at the same time.
        double jitter = 0.9 + 0.2 * mRandom.nextDouble();
        mNextRoundNanos = nowNanos + (long) (mPeriodNanos * jitter);
        mPushes = 0;
        mMembers.sweep(nowNanos);
        mBackends.sweep(nowNanos, mMembers);
        mAntiEntropy.sendDeferred(nowNanos, out);
        MemberEntry target = mProber.nextTarget(mMembers);
        if (target != null) {
            probe(nowNanos, target, out);
        }
        probeUnreachableGroups(nowNanos, out);
        pingUnreachable(nowNanos, out);
        if (target == null || mRandom.nextInt(ROUNDS_PER_SEED_PING) == 0) {
            String seed = pickUnknownSeed();
            if (seed != null) {
                mSender.pingSeed(nowNanos, seed, mProber.start(nowNanos, 0, false), out);
            }
        }
    }

    /**
     * Probes one member of an unreachable zone or region whose status is still ALIVE. In the
     * regular probe order of 84 members it would be probed only after 50 s.
     */
    private void probeUnreachableGroups(long nowNanos, Consumer<? super MembershipOutput> out) {
        if (mMembers.unreachableZones().isEmpty() && mMembers.unreachableRegions().isEmpty()) {
            return;
        }
        List<MemberEntry> candidates =
                mMembers.others(
                        entry ->
                                entry.mStatus == MemberStatus.ALIVE
                                        && (mMembers.unreachableZones()
                                                        .contains(entry.mInfo.zone().value())
                                                || mMembers.unreachableRegions()
                                                        .contains(entry.mInfo.region())));
        if (!candidates.isEmpty()) {
            probe(nowNanos, candidates.get(mRandom.nextInt(candidates.size())), out);
        }
    }

    /** Pings a random member that is not reachable, so that its return is detected. */
    private void pingUnreachable(long nowNanos, Consumer<? super MembershipOutput> out) {
        List<MemberEntry> unreachable = mMembers.others(entry -> !entry.mStatus.isReachable());
        double pingProbability = PINGS_PER_UNREACHABLE * unreachable.size() / mMembers.liveCount();
        if (mRandom.nextDouble() < pingProbability) {
            MemberEntry entry = unreachable.get(mRandom.nextInt(unreachable.size()));
            long sequence = mProber.start(nowNanos, entry.mShortId, false);
            mSender.sendPing(nowNanos, entry, sequence, out);
        }
    }

    /**
     * Returns a random seed address, or null if there are no seeds or the instance with this
     * address is known and not gone.
     */
    private @Nullable String pickUnknownSeed() {
        List<String> seeds = mSettings.seeds();
        if (seeds.isEmpty()) {
            return null;
        }
        String seed = seeds.get(mRandom.nextInt(seeds.size()));
        for (MemberEntry entry : mMembers.entries()) {
            if (entry.mInfo.peerAddress().equals(seed) && !entry.isGone()) {
                return null;
            }
        }
        return seed;
    }

    private void probe(long nowNanos, MemberEntry target, Consumer<? super MembershipOutput> out) {
        long sequence = mProber.start(nowNanos, target.mShortId, true);
        if (!mSender.sendPing(nowNanos, target, sequence, out)) {
            mProber.removeProbe(sequence);
        }
    }

    /**
     * Repeats a probe without an acknowledgement, with indirect probes at the last attempt, and
     * then suspects the member.
     */
    private void onProbeTimeout(
            long nowNanos,
            long sequence,
            Prober.Probe probe,
            Consumer<? super MembershipOutput> out) {
        MemberEntry target = mMembers.get(probe.mTarget);
        if (target == null || probe.mRequester != 0) {
            return;
        }
        if (probe.mAttempts >= Prober.MAX_ATTEMPTS) {
            mMembers.suspect(nowNanos, target);
            return;
        }
        if (target.mStatus != MemberStatus.ALIVE) {
            // The member is suspected already; more attempts would only cost budget.
            mProber.removeProbe(sequence);
            return;
        }
        probe.mAttempts++;
        mSender.sendPing(nowNanos, target, sequence, out);
        if (probe.mAttempts < Prober.MAX_ATTEMPTS || !mRules.probesIndirectly()) {
            return;
        }
        for (MemberEntry helper : pickReachable(Prober.INDIRECT_PROBERS, target)) {
            mSender.sendPingRequest(nowNanos, helper, target, sequence, out);
        }
    }

    private List<MemberEntry> pickReachable(int count, @Nullable MemberEntry except) {
        List<MemberEntry> reachable =
                mMembers.others(entry -> entry.mStatus.isReachable() && entry != except);
        while (reachable.size() > count) {
            reachable.remove(mRandom.nextInt(reachable.size()));
        }
        return reachable;
    }

    private void onMessage(
            long nowNanos,
            MembershipInput.Received received,
            Consumer<? super MembershipOutput> out) {
        GossipMessage message = GossipCodec.decode(received.payload());
        Set<Long> requestedIds = new HashSet<>();
        for (MemberUpdate update : message.members()) {
            if (!mMembers.apply(nowNanos, update)) {
                requestedIds.add(update.shortId());
            }
        }
        Set<Long> newerHere = new HashSet<>();
        for (Backend backend : message.backends()) {
            mBackends.apply(nowNanos, backend);
            // A restarted owner may publish a revision that is below one of its earlier ones,
            // which it has not received yet. Without a reply its updates would be ignored until
            // the next comparison of digests (seed 270).
            if (backend.owner().equals(received.sender()) && mBackends.isOutdated(backend)) {
                newerHere.add(ShortIds.backend(backend.id().value()));
            }
        }
        message.loads().forEach(mBackends::applyLoad);
        message.facts().forEach(fact -> applyFact(fact, out));
        MemberEntry sender = mMembers.get(received.sender());
        if (sender == null || sender == mMembers.self()) {
            return;
        }
        mMembers.onMessageFrom(nowNanos, sender);
        mSender.setIntroduceSelf(mMembers.takeSelfDoubted());
        mAntiEntropy.sendEntries(nowNanos, sender, newerHere, out);
        if (!requestedIds.isEmpty()) {
            mSender.requestEntries(nowNanos, sender, requestedIds, out);
        }
        respond(nowNanos, sender, message, out);
        mSender.setIntroduceSelf(false);
    }

    /** Sends the reply that the kind of a message requires. */
    private void respond(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            Consumer<? super MembershipOutput> out) {
        if (message.kind() == GossipKind.PING) {
            mSender.sendAck(nowNanos, sender, message.sequence(), out);
        } else if (message.kind() == GossipKind.ACK) {
            onAck(nowNanos, message, out);
        } else if (message.kind() == GossipKind.PING_REQUEST) {
            onPingRequest(nowNanos, sender, message, out);
        }
        if (mRules.comparesDigests()) {
            mAntiEntropy.onMessage(nowNanos, sender, message, mPeriodNanos, out);
        }
    }

    /**
     * Ends the probe of an acknowledgement, and forwards the acknowledgement if another member
     * requested the probe.
     */
    private void onAck(
            long nowNanos, GossipMessage message, Consumer<? super MembershipOutput> out) {
        Prober.Probe probe = mProber.removeProbe(message.sequence());
        if (probe == null) {
            return;
        }
        MemberEntry target = mMembers.get(probe.mTarget);
        if (target != null) {
            mMembers.onAckFrom(nowNanos, target);
        }
        MemberEntry requester = mMembers.get(probe.mRequester);
        if (requester != null) {
            mSender.sendAck(nowNanos, requester, probe.mRequesterSequence, out);
        }
    }

    private void onPingRequest(
            long nowNanos,
            MemberEntry sender,
            GossipMessage message,
            Consumer<? super MembershipOutput> out) {
        MemberEntry subject = mMembers.get(message.subjectId());
        if (subject == null || subject == mMembers.self()) {
            return;
        }
        long sequence =
                mProber.startForRequester(
                        nowNanos, subject.mShortId, sender.mShortId, message.sequence());
        mSender.sendPing(nowNanos, subject, sequence, out);
    }

    private void applyFact(Fact fact, Consumer<? super MembershipOutput> out) {
        if (!mFacts.apply(fact)) {
            return;
        }
        long shortId = ShortIds.fact(fact.key());
        int transmits = mRules.retransmitLimit(mMembers.liveCount());
        mRumors.add(fact.trafficClass(), false, shortId, GossipCodec.toWire(fact), transmits);
        mView = null;
        out.accept(new MembershipOutput.FactLearned(fact));
    }

    /**
     * Completes an event: probes the zone of a new suspect, pushes urgent rumors and reports a
     * changed view.
     */
    private void finishEvent(long nowNanos, Consumer<? super MembershipOutput> out) {
        MemberEntry suspect = mMembers.takeLastSuspect();
        long spareBytes = mBudget.availableBytes(nowNanos, TrafficClass.PROBE);
        if (suspect != null && spareBytes > mBudget.burstBytes() / 2) {
            probeZone(nowNanos, suspect, out);
        }
        boolean hasUrgent = mRumors.takeFreshUrgent();
        if (hasUrgent && mRules.pushesUrgentRumors() && mPushes < MAX_PUSHES_PER_PERIOD) {
            mPushes++;
            for (MemberEntry target : pickReachable(URGENT_FANOUT, null)) {
                mSender.sendRumors(nowNanos, target, out);
            }
        }
        boolean changed = mMembers.takeChanged();
        changed |= mBackends.takeChanged();
        if (changed) {
            mView = null;
            out.accept(new MembershipOutput.ViewChanged());
        }
    }

    /**
     * Probes other members of a suspect's zone, so that a partition is distinguished from a death
     * in time.
     */
    private void probeZone(
            long nowNanos, MemberEntry suspect, Consumer<? super MembershipOutput> out) {
        ZoneId zone = suspect.mInfo.zone();
        List<MemberEntry> peers =
                mMembers.others(
                        entry ->
                                entry != suspect
                                        && entry.mInfo.zone().equals(zone)
                                        && entry.mStatus.isReachable());
        while (peers.size() > ZONE_PROBES) {
            peers.remove(mRandom.nextInt(peers.size()));
        }
        for (MemberEntry peer : peers) {
            probe(nowNanos, peer, out);
        }
    }

    /** Recomputes the parameters that depend on the number of instances. */
    private void adaptToFleetSize() {
        int size = mMembers.liveCount();
        mPeriodNanos = mRules.periodNanos(size, mBudget.refillBytesPerSecond());
        mMembers.setFleetParameters(
                mRules.suspicionNanos(size, mPeriodNanos), mRules.retransmitLimit(size));
        mBackends.setTransmits(mRules.retransmitLimit(size));
    }

    private MembershipView buildView(long nowNanos) {
        TreeMap<InstanceId, Member> members = new TreeMap<>();
        for (MemberEntry entry : mMembers.entries()) {
            members.put(entry.id(), entry.toMember(nowNanos));
        }
        TreeMap<BackendId, Backend> backends = new TreeMap<>();
        for (BackendEntry entry : mBackends.entries()) {
            backends.put(entry.mBackend.id(), entry.toBackend());
        }
        TreeMap<String, Fact> facts = new TreeMap<>();
        for (Fact fact : mFacts.facts()) {
            facts.put(fact.key(), fact);
        }
        ImmutableSet.Builder<ZoneId> zones = ImmutableSet.builder();
        mMembers.unreachableZones().forEach(zone -> zones.add(ZoneId.of(zone)));
        return new MembershipView(
                mSettings.self().id(),
                ImmutableMap.copyOf(members),
                ImmutableMap.copyOf(backends),
                ImmutableMap.copyOf(facts),
                zones.build(),
                ImmutableSet.copyOf(mMembers.unreachableRegions()),
                mMembers.isIsolated());
    }
}
