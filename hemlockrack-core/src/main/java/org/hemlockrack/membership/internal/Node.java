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

/** The protocol of one instance: rounds, probes, answers and anti-entropy. */
public final class Node {
    /** Members that urgent news is pushed to at once. */
    private static final int PUSH_FANOUT = 3;

    /** Pushes per period; news beyond that waits for the next round. */
    private static final int MAX_PUSHES = 2;

    /** Members of a zone that are probed as soon as one of them is suspected. */
    private static final int ZONE_PROBES = 3;

    /** One round in this many also pings a seed that is not known. */
    private static final int SEED_ROUNDS = 3;

    /**
     * How often per period the whole fleet pings a member that is not reachable. If each instance
     * chose alone, the answers would take the whole budget of a member that returns (seed 118).
     */
    private static final double REVIVE_PINGS = 2;

    /** Lateness of a timer beyond one period that is taken as a stop of this process. */
    private static final long FREEZE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MembershipSettings mSettings;
    private final ControlBudget mBudget;
    private final RandomGenerator mRandom;
    private final GossipRules mRules;
    private final Digest mDigest = new Digest();
    private final RumorQueue mRumors;
    private final MemberTable mMembers;
    private final Directory mDirectory;
    private final FactTable mFacts;
    private final Prober mProber;
    private final AntiEntropy mAntiEntropy;
    private final Sender mSender;

    private long mPeriodNanos;
    private long mNextRoundNanos;
    private int mPushes;
    private @Nullable MembershipView mView;

    /** Creates a node; see {@code Membership.create}. */
    public Node(
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
        mMembers = new MemberTable(settings.self(), start, rules, mDigest, mRumors);
        mDirectory =
                new Directory(
                        settings.self().id(), settings.startIncarnation(), rules, mDigest, mRumors);
        mFacts = new FactTable(rules, mDigest);
        mProber = new Prober(random);
        mSender = new Sender(settings.self(), budget, mRumors, mMembers, mDigest);
        mAntiEntropy = new AntiEntropy(mDigest, mMembers, mDirectory, mFacts, mSender, random);
        tune();
        mNextRoundNanos = nowNanos + (long) (random.nextDouble() * mPeriodNanos);
    }

    /** Handles one event. */
    public void onEvent(
            long nowNanos, MembershipInput event, Consumer<? super MembershipOutput> out) {
        if (event instanceof MembershipInput.Received received) {
            receive(nowNanos, received, out);
        } else if (event instanceof MembershipInput.BackendAnnounced announced) {
            mDirectory.announce(nowNanos, announced.backend(), announced.inFlight());
        } else if (event instanceof MembershipInput.BackendGone gone) {
            mDirectory.gone(nowNanos, gone.id());
        } else if (event instanceof MembershipInput.PublishFact publish) {
            learn(publish.fact(), out);
        } else if (event instanceof MembershipInput.SelfChanged self) {
            mMembers.changeSelf(self.ready(), self.draining(), self.configVersion());
        } else if (event instanceof MembershipInput.PeerFailed failed) {
            MemberEntry entry = mMembers.get(failed.id());
            if (entry != null && entry.mStatus.isReachable()) {
                probe(nowNanos, entry, out);
            }
        } else if (event instanceof MembershipInput.Leave) {
            mMembers.leave();
        }
        finish(nowNanos, out);
    }

    /** Handles all timers that are due. */
    public void onTimer(long nowNanos, Consumer<? super MembershipOutput> out) {
        long dueNanos = nextTimerNanos();
        if (nowNanos < dueNanos) {
            return;
        }
        if (mRules.detectsFreeze() && nowNanos - dueNanos > FREEZE_NANOS) {
            mProber.clear();
            mMembers.restartSuspicions(nowNanos);
        }
        for (Map.Entry<Long, Prober.Probe> due : mProber.takeDue(nowNanos).entrySet()) {
            onProbeDue(nowNanos, due.getKey(), due.getValue(), out);
        }
        mMembers.onTimer(nowNanos);
        if (nowNanos >= mNextRoundNanos) {
            round(nowNanos, out);
        }
        finish(nowNanos, out);
    }

    /** Returns when the next timer is due. */
    public long nextTimerNanos() {
        long next = Math.min(mNextRoundNanos, mMembers.nextDeadlineNanos());
        return Math.min(next, mProber.nextDeadlineNanos());
    }

    /** Returns the mean in-flight work per server of a service. */
    public double meanInFlight(ServiceId service) {
        return mDirectory.meanInFlight(service);
    }

    /** Returns the last known in-flight work of a server. */
    public int inFlight(BackendId id) {
        return mDirectory.inFlight(id);
    }

    /** Returns the current gossip period. */
    public long periodNanos() {
        return mPeriodNanos;
    }

    /** Returns how many rumors wait. */
    public int rumors() {
        return mRumors.size();
    }

    /** Returns the view. */
    public MembershipView view(long nowNanos) {
        if (mView == null) {
            mView = buildView(nowNanos);
        }
        return mView;
    }

    private void round(long nowNanos, Consumer<? super MembershipOutput> out) {
        tune();
        // Jitter keeps the rounds of the fleet apart.
        double factor = 0.9 + 0.2 * mRandom.nextDouble();
        mNextRoundNanos = nowNanos + (long) (mPeriodNanos * factor);
        mPushes = 0;
        mMembers.sweep(nowNanos);
        mDirectory.sweep(nowNanos, mMembers);
        mAntiEntropy.flush(nowNanos, out);
        MemberEntry target = mProber.next(mMembers);
        if (target != null) {
            probe(nowNanos, target, out);
        }
        probeCut(nowNanos, out);
        revive(nowNanos, out);
        if (target == null || mRandom.nextInt(SEED_ROUNDS) == 0) {
            String seed = unknownSeed();
            if (seed != null) {
                mSender.pingSeed(nowNanos, seed, mProber.start(nowNanos, 0, false), out);
            }
        }
    }

    /**
     * Probes one member that is still taken for reachable in a zone or region that is cut. In the
     * usual order of 84 members it would be probed only after 50 s.
     */
    private void probeCut(long nowNanos, Consumer<? super MembershipOutput> out) {
        if (mMembers.zonesCut().isEmpty() && mMembers.regionsCut().isEmpty()) {
            return;
        }
        List<MemberEntry> doubtful =
                mMembers.others(
                        entry ->
                                entry.mStatus == MemberStatus.ALIVE
                                        && (mMembers.zonesCut().contains(entry.mInfo.zone().value())
                                                || mMembers.regionsCut()
                                                        .contains(entry.mInfo.region())));
        if (!doubtful.isEmpty()) {
            probe(nowNanos, doubtful.get(mRandom.nextInt(doubtful.size())), out);
        }
    }

    private void revive(long nowNanos, Consumer<? super MembershipOutput> out) {
        List<MemberEntry> lost = mMembers.others(entry -> !entry.mStatus.isReachable());
        double share = REVIVE_PINGS * lost.size() / mMembers.size();
        if (mRandom.nextDouble() < share) {
            MemberEntry entry = lost.get(mRandom.nextInt(lost.size()));
            long sequence = mProber.start(nowNanos, entry.mShortId, false);
            mSender.ping(nowNanos, entry, sequence, out);
        }
    }

    private @Nullable String unknownSeed() {
        List<String> seeds = mSettings.seeds();
        if (seeds.isEmpty()) {
            return null;
        }
        String seed = seeds.get(mRandom.nextInt(seeds.size()));
        for (MemberEntry entry : mMembers.all()) {
            if (entry.mInfo.peerAddress().equals(seed) && !entry.isGone()) {
                return null;
            }
        }
        return seed;
    }

    private void probe(long nowNanos, MemberEntry target, Consumer<? super MembershipOutput> out) {
        long sequence = mProber.start(nowNanos, target.mShortId, true);
        if (!mSender.ping(nowNanos, target, sequence, out)) {
            mProber.acked(sequence);
        }
    }

    private void onProbeDue(
            long nowNanos,
            long sequence,
            Prober.Probe probe,
            Consumer<? super MembershipOutput> out) {
        MemberEntry target = mMembers.get(probe.mTarget);
        if (target == null || probe.mRequester != 0) {
            return;
        }
        if (probe.mAttempts >= Prober.ATTEMPTS) {
            mMembers.suspect(nowNanos, target);
            return;
        }
        if (target.mStatus != MemberStatus.ALIVE) {
            // The suspicion runs already; more attempts would only cost budget.
            mProber.acked(sequence);
            return;
        }
        probe.mAttempts++;
        mSender.ping(nowNanos, target, sequence, out);
        if (probe.mAttempts < Prober.ATTEMPTS || !mRules.probesIndirectly()) {
            return;
        }
        for (MemberEntry helper : pick(Prober.HELPERS, target)) {
            mSender.pingRequest(nowNanos, helper, target, sequence, out);
        }
    }

    private List<MemberEntry> pick(int count, @Nullable MemberEntry except) {
        List<MemberEntry> found =
                mMembers.others(entry -> entry.mStatus.isReachable() && entry != except);
        while (found.size() > count) {
            found.remove(mRandom.nextInt(found.size()));
        }
        return found;
    }

    private void receive(
            long nowNanos,
            MembershipInput.Received received,
            Consumer<? super MembershipOutput> out) {
        Message message = GossipCodec.decode(received.payload());
        Set<Long> wants = new HashSet<>();
        for (News news : message.members()) {
            if (!mMembers.apply(nowNanos, news)) {
                wants.add(news.shortId());
            }
        }
        Set<Long> outdated = new HashSet<>();
        for (Backend backend : message.backends()) {
            mDirectory.apply(nowNanos, backend);
            // An owner that restarted may write below a revision that it has not learned yet; its
            // news would be ignored until the next comparison of digests (seed 270).
            if (backend.owner().equals(received.sender()) && mDirectory.isOutdated(backend)) {
                outdated.add(ShortIds.backend(backend.id().value()));
            }
        }
        message.loads().forEach(mDirectory::applyLoad);
        message.facts().forEach(fact -> learn(fact, out));
        MemberEntry sender = mMembers.get(received.sender());
        if (sender == null || sender == mMembers.self()) {
            return;
        }
        mMembers.heard(nowNanos, sender);
        mSender.introduce(mMembers.takeDoubted());
        mAntiEntropy.sendEntries(nowNanos, sender, outdated, out);
        if (!wants.isEmpty()) {
            mSender.want(nowNanos, sender, wants, out);
        }
        answer(nowNanos, sender, message, out);
        mSender.introduce(false);
    }

    private void answer(
            long nowNanos,
            MemberEntry sender,
            Message message,
            Consumer<? super MembershipOutput> out) {
        if (message.kind() == GossipKind.PING) {
            mSender.ack(nowNanos, sender, message.sequence(), out);
        } else if (message.kind() == GossipKind.ACK) {
            onAck(nowNanos, message, out);
        } else if (message.kind() == GossipKind.PING_REQUEST) {
            onPingRequest(nowNanos, sender, message, out);
        }
        if (mRules.comparesDigests()) {
            mAntiEntropy.onMessage(nowNanos, sender, message, mPeriodNanos, out);
        }
    }

    private void onAck(long nowNanos, Message message, Consumer<? super MembershipOutput> out) {
        Prober.Probe probe = mProber.acked(message.sequence());
        if (probe == null) {
            return;
        }
        MemberEntry target = mMembers.get(probe.mTarget);
        if (target != null) {
            mMembers.acked(nowNanos, target);
        }
        MemberEntry requester = mMembers.get(probe.mRequester);
        if (requester != null) {
            mSender.ack(nowNanos, requester, probe.mRequesterSequence, out);
        }
    }

    private void onPingRequest(
            long nowNanos,
            MemberEntry sender,
            Message message,
            Consumer<? super MembershipOutput> out) {
        MemberEntry subject = mMembers.get(message.subject());
        if (subject == null || subject == mMembers.self()) {
            return;
        }
        long sequence =
                mProber.startFor(nowNanos, subject.mShortId, sender.mShortId, message.sequence());
        mSender.ping(nowNanos, subject, sequence, out);
    }

    private void learn(Fact fact, Consumer<? super MembershipOutput> out) {
        if (!mFacts.apply(fact)) {
            return;
        }
        long shortId = ShortIds.fact(fact.key());
        int times = mRules.transmits(mMembers.size());
        mRumors.add(fact.trafficClass(), false, shortId, GossipCodec.toWire(fact), times);
        mView = null;
        out.accept(new MembershipOutput.FactLearned(fact));
    }

    private void finish(long nowNanos, Consumer<? super MembershipOutput> out) {
        MemberEntry suspect = mMembers.takeLastSuspect();
        long spareBytes = mBudget.availableBytes(nowNanos, TrafficClass.PROBE);
        if (suspect != null && spareBytes > mBudget.burstBytes() / 2) {
            probeZone(nowNanos, suspect, out);
        }
        boolean urgent = mRumors.takeFreshUrgent();
        if (urgent && mRules.pushesUrgentNews() && mPushes < MAX_PUSHES) {
            mPushes++;
            for (MemberEntry target : pick(PUSH_FANOUT, null)) {
                mSender.news(nowNanos, target, out);
            }
        }
        boolean changed = mMembers.takeChanged();
        changed |= mDirectory.takeChanged();
        if (changed) {
            mView = null;
            out.accept(new MembershipOutput.ViewChanged());
        }
    }

    /** Probes others of a suspect's zone, so that a cut is told from a death in time. */
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

    private void tune() {
        int size = mMembers.size();
        mPeriodNanos = mRules.periodNanos(size, mBudget.refillBytesPerSecond());
        mMembers.tune(mRules.suspicionNanos(size, mPeriodNanos), mRules.transmits(size));
        mDirectory.tune(mRules.transmits(size));
    }

    private MembershipView buildView(long nowNanos) {
        TreeMap<InstanceId, Member> members = new TreeMap<>();
        for (MemberEntry entry : mMembers.all()) {
            members.put(entry.id(), entry.member(nowNanos));
        }
        TreeMap<BackendId, Backend> backends = new TreeMap<>();
        for (BackendEntry entry : mDirectory.all()) {
            backends.put(entry.mBackend.id(), entry.shown());
        }
        TreeMap<String, Fact> facts = new TreeMap<>();
        for (Fact fact : mFacts.all()) {
            facts.put(fact.key(), fact);
        }
        ImmutableSet.Builder<ZoneId> zones = ImmutableSet.builder();
        mMembers.zonesCut().forEach(zone -> zones.add(ZoneId.of(zone)));
        return new MembershipView(
                mSettings.self().id(),
                ImmutableMap.copyOf(members),
                ImmutableMap.copyOf(backends),
                ImmutableMap.copyOf(facts),
                zones.build(),
                ImmutableSet.copyOf(mMembers.regionsCut()),
                mMembers.isIsolated());
    }
}
