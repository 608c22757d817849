package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.OwnerSelector;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.model.InstanceId;

/** Measures how views react to a zone that is evacuated or partitioned, or that crashes. */
public final class ZoneBench {
    private static final int ZONE_INDEX = 1;
    private static final long STEP_NANOS = 100 * GossipFleet.NANOS_PER_MILLI;
    private static final int MAX_OBSERVERS = 12;

    private final long mSeed;

    private ZoneBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        ZoneBench bench = new ZoneBench(BenchArgs.parseSeed(args));
        System.out.println("seed=" + bench.mSeed);
        for (boolean detection : new boolean[] {true, false}) {
            GossipRules rules = detection ? GossipRules.standard() : new NoGroupDetection();
            String suffix = detection ? "" : "_no_detection";
            long defaultBudget = ControlBudget.DEFAULT_BYTES_PER_SECOND;
            long fullSizeBudget = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;
            bench.measure(
                    "z3" + suffix, new GossipFleet.Parameters(1, 3, 8, 11, defaultBudget, rules));
            bench.measure(
                    "z7" + suffix,
                    new GossipFleet.Parameters(2, 7, 84, 210, fullSizeBudget, rules));
        }
    }

    private void measure(String name, GossipFleet.Parameters parameters) {
        System.out.printf("%n%s%n", name);
        GossipFleet fleet = new GossipFleet(mSeed, parameters);
        fleet.runFor(60 * GossipFleet.NANOS_PER_SECOND);
        measureEvacuation(fleet, name);
        measurePartition(fleet, name);
        measureZoneCrash(fleet, name);
    }

    private static void measureEvacuation(GossipFleet fleet, String name) {
        for (int version = 1; version <= 2; version++) {
            byte[] state = {(byte) (version % 2)};
            Fact fact = new Fact("zone/zone-" + ZONE_INDEX, version, state, TrafficClass.URGENT);
            int wantedVersion = version;
            fleet.mInstances.get(0).handleEvent(new MembershipInput.PublishFact(fact));
            ViewTracker tracker = new ViewTracker(fleet);
            tracker.runUntil(20, view -> versionOf(view, fact.key()) >= wantedVersion);
            tracker.print(name, version == 1 ? "out" : "in");
        }
    }

    private static long versionOf(MembershipView view, String key) {
        Fact fact = view.facts().get(key);
        return fact == null ? 0 : fact.version();
    }

    private static void measurePartition(GossipFleet fleet, String name) {
        fleet.setZonePartitioned(ZONE_INDEX, true);
        ViewTracker partition = new ViewTracker(fleet);
        partition.runUntil(30, view -> isZoneUnreachable(view));
        partition.runUntil(30, view -> false);
        partition.print(name, "cut");
        fleet.setZonePartitioned(ZONE_INDEX, false);
        ViewTracker heal = new ViewTracker(fleet);
        heal.runUntil(40, view -> areAllAlive(view, fleet.mInstances.size()));
        heal.print(name, "heal");
    }

    private static void measureZoneCrash(GossipFleet fleet, String name) {
        fleet.runFor(60 * GossipFleet.NANOS_PER_SECOND);
        fleet.mInstances.stream()
                .filter(instance -> instance.mZone == ZONE_INDEX)
                .forEach(GossipFleet.Instance::crash);
        ViewTracker crash = new ViewTracker(fleet);
        crash.runUntil(30, view -> isZoneUnreachable(view));
        crash.print(name, "lost");
    }

    private static boolean isZoneUnreachable(MembershipView view) {
        return view.members().values().stream()
                .noneMatch(member -> isInZone(member) && member.status().isReachable());
    }

    private static boolean isInZone(Member member) {
        return member.zone().value().equals("zone-" + ZONE_INDEX);
    }

    private static boolean areAllAlive(MembershipView view, int instances) {
        return view.members().values().stream()
                        .filter(member -> member.status() == MemberStatus.ALIVE)
                        .count()
                == instances;
    }

    /** Rules that declare every unreachable instance dead, even if a whole zone is unreachable. */
    private static final class NoGroupDetection extends GossipRules {
        @Override
        public boolean isGroupUnreachable(int unreachable, int total) {
            return false;
        }

        @Override
        public boolean isIsolated(int unreachable, int total) {
            return false;
        }
    }

    /** Observes the views of the instances outside the zone. */
    private static final class ViewTracker {
        private final GossipFleet mFleet;
        private final List<GossipFleet.Instance> mObservers = new ArrayList<>();
        private final Set<String> mWrongDeaths = new HashSet<>();
        private final Set<String> mOwnerMoves = new HashSet<>();
        private final long mStartNanos;
        private double mAgreementSeconds = -1;

        private ViewTracker(GossipFleet fleet) {
            mFleet = fleet;
            mStartNanos = fleet.mNowNanos;
            fleet.liveInstances().stream()
                    .filter(instance -> instance.mZone != ZONE_INDEX)
                    .limit(MAX_OBSERVERS)
                    .forEach(mObservers::add);
        }

        /** Runs until all views outside the zone meet a condition or the maximum time is over. */
        private void runUntil(int maxSeconds, Predicate<MembershipView> condition) {
            long endNanos = mFleet.mNowNanos + maxSeconds * GossipFleet.NANOS_PER_SECOND;
            while (mFleet.mNowNanos < endNanos) {
                mFleet.runFor(STEP_NANOS);
                observe();
                boolean allMatch =
                        mFleet.liveInstances().stream()
                                .filter(instance -> instance.mZone != ZONE_INDEX)
                                .allMatch(instance -> condition.test(instance.view()));
                if (allMatch) {
                    mAgreementSeconds = (mFleet.mNowNanos - mStartNanos) / 1e9;
                    return;
                }
            }
        }

        private void observe() {
            for (GossipFleet.Instance instance : mObservers) {
                MembershipView view = instance.view();
                for (GossipFleet.Instance other : mFleet.liveInstances()) {
                    boolean dead =
                            view.member(other.mInfo.id())
                                    .filter(member -> member.status() == MemberStatus.DEAD)
                                    .isPresent();
                    if (dead) {
                        mWrongDeaths.add(instance.mInfo.id() + " " + other.mInfo.id());
                    }
                }
                mFleet.mServers.stream()
                        .filter(server -> server.mZone == ZONE_INDEX)
                        .forEach(server -> observeOwner(instance, view, server));
            }
        }

        private void observeOwner(
                GossipFleet.Instance instance, MembershipView view, GossipFleet.Server server) {
            InstanceId owner =
                    OwnerSelector.selectOwner(view, server.mId, server.zone()).orElse(null);
            boolean outside =
                    owner != null
                            && view.member(owner).filter(member -> !isInZone(member)).isPresent();
            if (outside) {
                mOwnerMoves.add(instance.mInfo.id() + " " + server.mId);
            }
        }

        private void print(String name, String figure) {
            System.out.printf(Locale.ROOT, "%s_%s_agree_s=%.1f%n", name, figure, mAgreementSeconds);
            System.out.printf("%s_%s_wrong_deaths=%d%n", name, figure, mWrongDeaths.size());
            System.out.printf("%s_%s_owner_moves_outside=%d%n", name, figure, mOwnerMoves.size());
        }
    }
}
