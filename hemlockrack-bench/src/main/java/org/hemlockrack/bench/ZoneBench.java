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

/** Measures how views follow a zone that is taken out, cut off or lost. */
public final class ZoneBench {
    private static final int ZONE = 1;
    private static final long STEP_NANOS = 100 * GossipFleet.MILLI;
    private static final int OBSERVERS = 12;

    private final long mSeed;

    private ZoneBench(long seed) {
        mSeed = seed;
    }

    /**
     * Runs the bench.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        ZoneBench bench = new ZoneBench(BenchArgs.seed(args));
        System.out.println("seed=" + bench.mSeed);
        for (boolean detection : new boolean[] {true, false}) {
            GossipRules rules = detection ? GossipRules.standard() : new NoGroupDetection();
            String suffix = detection ? "" : "_no_detection";
            long today = ControlBudget.DEFAULT_BYTES_PER_SECOND;
            long full = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;
            bench.measure("z3" + suffix, new GossipFleet.Parameters(1, 3, 8, 11, today, rules));
            bench.measure("z7" + suffix, new GossipFleet.Parameters(2, 7, 84, 210, full, rules));
        }
    }

    private void measure(String name, GossipFleet.Parameters shape) {
        System.out.printf("%n%s%n", name);
        GossipFleet fleet = new GossipFleet(mSeed, shape);
        fleet.run(60 * GossipFleet.SECOND);
        takeOut(fleet, name);
        cutAndHeal(fleet, name);
        lose(fleet, name);
    }

    private static void takeOut(GossipFleet fleet, String name) {
        for (int version = 1; version <= 2; version++) {
            byte[] state = {(byte) (version % 2)};
            Fact fact = new Fact("zone/zone-" + ZONE, version, state, TrafficClass.URGENT);
            int wanted = version;
            fleet.mNodes.get(0).event(new MembershipInput.PublishFact(fact));
            ViewTracker progress = new ViewTracker(fleet);
            progress.runUntil(20, view -> version(view, fact.key()) >= wanted);
            progress.print(name, version == 1 ? "out" : "in");
        }
    }

    private static long version(MembershipView view, String key) {
        Fact fact = view.facts().get(key);
        return fact == null ? 0 : fact.version();
    }

    private static void cutAndHeal(GossipFleet fleet, String name) {
        fleet.cutZone(ZONE, true);
        ViewTracker cut = new ViewTracker(fleet);
        cut.runUntil(30, view -> noneReachable(view));
        cut.runUntil(30, view -> false);
        cut.print(name, "cut");
        fleet.cutZone(ZONE, false);
        ViewTracker heal = new ViewTracker(fleet);
        heal.runUntil(40, view -> allAlive(view, fleet.mNodes.size()));
        heal.print(name, "heal");
    }

    private static void lose(GossipFleet fleet, String name) {
        fleet.run(60 * GossipFleet.SECOND);
        fleet.mNodes.stream()
                .filter(node -> node.mZone == ZONE)
                .forEach(GossipFleet.Instance::crash);
        ViewTracker lost = new ViewTracker(fleet);
        lost.runUntil(30, view -> noneReachable(view));
        lost.print(name, "lost");
    }

    private static boolean noneReachable(MembershipView view) {
        return view.members().values().stream()
                .noneMatch(member -> inZone(member) && member.status().isReachable());
    }

    private static boolean inZone(Member member) {
        return member.zone().value().equals("zone-" + ZONE);
    }

    private static boolean allAlive(MembershipView view, int instances) {
        return view.members().values().stream()
                        .filter(member -> member.status() == MemberStatus.ALIVE)
                        .count()
                == instances;
    }

    /** Rules that take every unreachable instance for dead. */
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

    /** Follows the views of the instances outside the zone. */
    private static final class ViewTracker {
        private final GossipFleet mFleet;
        private final List<GossipFleet.Instance> mObservers = new ArrayList<>();
        private final Set<String> mWrongDeaths = new HashSet<>();
        private final Set<String> mMoves = new HashSet<>();
        private final long mStartNanos;
        private double mAgreeSeconds = -1;

        private ViewTracker(GossipFleet fleet) {
            mFleet = fleet;
            mStartNanos = fleet.mNowNanos;
            fleet.live().stream()
                    .filter(node -> node.mZone != ZONE)
                    .limit(OBSERVERS)
                    .forEach(mObservers::add);
        }

        /** Runs until all views outside the zone meet a condition, at most some seconds. */
        private void runUntil(int seconds, Predicate<MembershipView> condition) {
            long end = mFleet.mNowNanos + seconds * GossipFleet.SECOND;
            while (mFleet.mNowNanos < end) {
                mFleet.run(STEP_NANOS);
                observe();
                boolean agree =
                        mFleet.live().stream()
                                .filter(node -> node.mZone != ZONE)
                                .allMatch(node -> condition.test(node.view()));
                if (agree) {
                    mAgreeSeconds = (mFleet.mNowNanos - mStartNanos) / 1e9;
                    return;
                }
            }
        }

        private void observe() {
            for (GossipFleet.Instance node : mObservers) {
                MembershipView view = node.view();
                for (GossipFleet.Instance other : mFleet.live()) {
                    boolean dead =
                            view.member(other.mInfo.id())
                                    .filter(member -> member.status() == MemberStatus.DEAD)
                                    .isPresent();
                    if (dead) {
                        mWrongDeaths.add(node.mInfo.id() + " " + other.mInfo.id());
                    }
                }
                mFleet.mWorkers.stream()
                        .filter(worker -> worker.mZone == ZONE)
                        .forEach(worker -> observeOwner(node, view, worker));
            }
        }

        private void observeOwner(
                GossipFleet.Instance node, MembershipView view, GossipFleet.Server worker) {
            InstanceId owner =
                    OwnerSelector.selectOwner(view, worker.mId, worker.zone()).orElse(null);
            boolean outside =
                    owner != null && view.member(owner).filter(m -> !inZone(m)).isPresent();
            if (outside) {
                mMoves.add(node.mInfo.id() + " " + worker.mId);
            }
        }

        private void print(String name, String what) {
            System.out.printf(Locale.ROOT, "%s_%s_agree_s=%.1f%n", name, what, mAgreeSeconds);
            System.out.printf("%s_%s_wrong_deaths=%d%n", name, what, mWrongDeaths.size());
            System.out.printf("%s_%s_owner_moves_outside=%d%n", name, what, mMoves.size());
        }
    }
}
