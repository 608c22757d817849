package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Machines that are replaced by ones at other addresses, and then as many lost disks as must be
 * tolerated. A new machine counts as lost for a time after its start, and the machine that it
 * replaces until then.
 */
class ReplacedMachineTest {
    private static final int HISTORIES = Integer.getInteger("histories", 40);
    private static final int ROUNDS = 4;
    private static final long TICK_MILLIS = 200;

    /** Longest time that a killed process or a machine without power is down. */
    private static final int MAX_DOWN_MILLIS = 1_000;

    /** How long a stop waits at most for a successor. */
    private static final long STOP_LIMIT_MILLIS = 2_000;

    private static final long STOP_POLL_MILLIS = 50;

    /** A leader must exist this long after the last disturbance. */
    private static final long LEADER_LIMIT_MILLIS = 3_000;

    /** Time to take in replicas with empty disks before the next replacement. */
    private static final long REPAIR_LIMIT_MILLIS = 10_000;

    /** How a machine leaves. */
    private enum Departure {
        /** The old machine disappears, and the new one starts one second later. */
        LOST,
        /** The new machine starts first, and the old one disappears later. */
        LOST_AFTER_START,
        /** The new machine starts first, and the old one is asked to stop later. */
        STOPPED
    }

    /** What happens at a random moment while the voters change. */
    private enum Interruption {
        NONE,
        LEADER_KILLED,
        POWER_LOST
    }

    /** The rules, and ones of which a part is turned off. */
    private enum Rule {
        CURRENT,
        /** A learner waits for 20 s while more controllers answer than there are seats. */
        SPARES_WAIT {
            @Override
            boolean allows(VoterChange change, History history, SimulatedInstance leader) {
                int answering = history.mSimulation.instancesInTouchWith(leader).size();
                return change.action() != VoterChange.Action.PROMOTE
                        || answering <= history.mFleet.controllers()
                        || history.nanosSinceRemoval() >= SPARE_WAIT_NANOS;
            }
        },
        /** A machine that stops does not say so. */
        STOPS_SILENTLY {
            @Override
            boolean announcesStops() {
                return false;
            }
        };

        private static final long SPARE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

        boolean allows(VoterChange change, History history, SimulatedInstance leader) {
            return true;
        }

        boolean announcesStops() {
            return true;
        }
    }

    /** What happens while an entry that changes the members is on its way or just committed. */
    private enum MomentFault {
        NONE,
        LEADER_KILLED,
        POWER_LOST,
        DISK_LOST
    }

    /**
     * Sizes of a fleet.
     *
     * @param controllers first controllers
     * @param toleratedLosses disks that are lost at the same time
     * @param spares controllers beside the voters
     * @param syncMillis how long a new machine counts as lost
     */
    private record Fleet(int controllers, int toleratedLosses, int spares, long syncMillis) {
        static final Fleet SMALL = new Fleet(3, 1, 0, 4_000);
        static final Fleet SMALL_WITH_SPARE = new Fleet(3, 1, 1, 4_000);
        static final Fleet LARGE = new Fleet(5, 2, 0, 6_000);
        static final Fleet LARGE_WITH_SPARES = new Fleet(5, 2, 3, 6_000);
    }

    /** One history: a simulated cluster, in which each process has a reconciler of its own. */
    private static final class History {
        private final Fleet mFleet;
        private final Departure mDeparture;
        private final Rule mRule;
        private final ClusterSimulation mSimulation;
        private final SplittableRandom mRandom;
        private final List<SimulatedInstance> mPresent = new ArrayList<>();
        private final Map<InstanceId, VoterReconciler> mReconcilers = new HashMap<>();
        private final Set<InstanceId> mLeaving = new HashSet<>();
        private final List<String> mViolations = new ArrayList<>();
        private long mRemovedNanos;
        private MomentFault mMomentFault = MomentFault.NONE;
        private int mChangesBeforeFault;
        private Membership mLastMembership = Membership.NONE;
        private long mNextTicket = -1_000_000;
        private long mNextTickNanos;
        private int mNextMachine;

        History(long seed, Fleet fleet, Departure departure, Rule rule) {
            mFleet = fleet;
            mDeparture = departure;
            mRule = rule;
            mSimulation =
                    new ClusterSimulation(
                            seed,
                            fleet.controllers(),
                            fleet.spares() + ROUNDS,
                            Variant.CORRECT,
                            Set.of());
            mSimulation.mFormation = LogFormation.WITH_MAJORITY;
            mSimulation.mVoterChangeListener = this::reconcile;
            mRandom = new SplittableRandom(seed);
            mNextMachine = fleet.controllers() + fleet.spares();
            List<SimulatedInstance> all = mSimulation.mInstances;
            mPresent.addAll(all.subList(0, mNextMachine));
            all.subList(mNextMachine, all.size()).forEach(SimulatedInstance::remove);
        }

        /** Replaces machines, each time with a fault at a moment of the change of the members. */
        List<String> runWithFaultsInChanges(MomentFault fault) {
            advance(8_000);
            for (int round = 0; round < ROUNDS && mViolations.isEmpty(); round++) {
                acknowledge();
                SimulatedInstance old = chooseMachine();
                if (mDeparture == Departure.LOST) {
                    remove(old);
                    advance(1_000);
                    startMachine();
                    armFault(fault);
                } else {
                    startMachine();
                    advance(mFleet.syncMillis());
                    armFault(fault);
                    stop(old);
                }
                advance(mFleet.syncMillis() + MAX_DOWN_MILLIS);
                mMomentFault = MomentFault.NONE;
                requireLeader(fault.name());
                advance(REPAIR_LIMIT_MILLIS);
                requireVoters();
            }
            if (mViolations.isEmpty()) {
                requireConvergence();
            }
            mViolations.addAll(mSimulation.mOracle.mViolations);
            return mViolations;
        }

        List<String> run() {
            advance(8_000);
            for (int round = 0; round < ROUNDS && mViolations.isEmpty(); round++) {
                replaceMachine();
                acknowledge();
                loseDisks();
                requireLeader("lost disks");
                advance(REPAIR_LIMIT_MILLIS);
                requireVoters();
            }
            if (mViolations.isEmpty()) {
                requireConvergence();
            }
            mViolations.addAll(mSimulation.mOracle.mViolations);
            return mViolations;
        }

        long nanosSinceRemoval() {
            return mSimulation.mNowNanos - mRemovedNanos;
        }

        private void replaceMachine() {
            SimulatedInstance old = chooseMachine();
            long startedNanos;
            if (mDeparture == Departure.LOST) {
                remove(old);
                advance(1_000);
                startedNanos = startMachine();
                startedNanos = Math.max(startedNanos, interrupt());
            } else {
                startedNanos = startMachine();
                advance(500 + mRandom.nextInt(18_000));
                startedNanos = Math.max(startedNanos, interrupt());
                advanceUntil(startedNanos + mSimulation.millisToNanos(mFleet.syncMillis()));
                if (mDeparture == Departure.LOST_AFTER_START) {
                    remove(old);
                    startedNanos = mSimulation.mNowNanos;
                } else {
                    stop(old);
                }
            }
            advanceUntil(startedNanos + mSimulation.millisToNanos(mFleet.syncMillis()));
        }

        /** Returns a voter, often the leader. */
        private SimulatedInstance chooseMachine() {
            SimulatedInstance leader = mSimulation.leader();
            if (leader != null && mRandom.nextBoolean()) {
                return leader;
            }
            return mPresent.get(mRandom.nextInt(mPresent.size()));
        }

        private long startMachine() {
            SimulatedInstance machine = mSimulation.mInstances.get(mNextMachine++);
            mPresent.add(machine);
            exchangeSeeds();
            machine.startNew();
            return mSimulation.mNowNanos;
        }

        /** Stops a machine as the process does: it waits until it has given up its seat. */
        private void stop(SimulatedInstance old) {
            if (!mRule.announcesStops()) {
                remove(old);
                return;
            }
            mLeaving.add(old.mId);
            long endNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(STOP_LIMIT_MILLIS);
            while (mSimulation.mNowNanos < endNanos && holdsSeat(old)) {
                advance(STOP_POLL_MILLIS);
            }
            remove(old);
        }

        private boolean holdsSeat(SimulatedInstance machine) {
            SimulatedInstance leader = mSimulation.leader();
            if (leader == null || leader == machine || !leader.isMembershipCommitted()) {
                return true;
            }
            return leader.consensus().membership().memberOf(machine.mId, true).isPresent();
        }

        private void remove(SimulatedInstance old) {
            mRemovedNanos = mSimulation.mNowNanos;
            old.remove();
            mReconcilers.remove(old.mId);
            mPresent.remove(old);
            exchangeSeeds();
        }

        /** Processes that start later are told of machines that are present now. */
        private void exchangeSeeds() {
            List<InstanceId> seeds = new ArrayList<>();
            mPresent.forEach(each -> seeds.add(each.mId));
            List<InstanceId> listed =
                    seeds.subList(0, Math.min(mFleet.controllers(), seeds.size()));
            mSimulation.mInstances.forEach(each -> each.setSeeds(listed));
        }

        /** Returns when all machines are back. */
        private long interrupt() {
            Interruption[] kinds = Interruption.values();
            Interruption kind = kinds[mRandom.nextInt(kinds.length)];
            if (kind == Interruption.NONE) {
                return 0;
            }
            advance(mRandom.nextInt(3_000));
            SimulatedInstance leader = mSimulation.leader();
            if (kind == Interruption.POWER_LOST) {
                mPresent.forEach(this::crash);
            } else if (leader != null) {
                crash(leader);
            }
            return mSimulation.mNowNanos + mSimulation.millisToNanos(MAX_DOWN_MILLIS);
        }

        private void crash(SimulatedInstance machine) {
            machine.crash(mRandom.nextInt(MAX_DOWN_MILLIS));
            mReconcilers.remove(machine.mId);
        }

        private void acknowledge() {
            mSimulation.sendClientRequests();
            advance(20 + mRandom.nextInt(60));
        }

        private void loseDisk(SimulatedInstance victim) {
            victim.loseFolder(false);
            mReconcilers.remove(victim.mId);
        }

        private void loseDisks() {
            List<SimulatedInstance> victims = new ArrayList<>(mPresent);
            boolean losesPower = mRandom.nextInt(3) == 0;
            for (int i = 0; i < mFleet.toleratedLosses(); i++) {
                SimulatedInstance victim = victims.remove(mRandom.nextInt(victims.size()));
                loseDisk(victim);
            }
            if (losesPower) {
                victims.forEach(this::crash);
            }
            advance(MAX_DOWN_MILLIS);
        }

        private void requireLeader(String after) {
            advance(LEADER_LIMIT_MILLIS);
            if (mSimulation.leader() == null) {
                mViolations.add("no leader after " + after + ": " + describe());
            }
        }

        /** Requires that the wanted number of voters is running. */
        private void requireVoters() {
            SimulatedInstance leader = mSimulation.leader();
            if (leader == null || !mViolations.isEmpty()) {
                return;
            }
            Set<Long> running =
                    mPresent.stream()
                            .filter(SimulatedInstance::isRunning)
                            .map(SimulatedInstance::replicaId)
                            .collect(Collectors.toSet());
            long voters =
                    leader.consensus().membership().voters().stream()
                            .filter(each -> running.contains(each.replicaId()))
                            .count();
            if (voters < mFleet.controllers()) {
                mViolations.add(voters + " voters are running: " + describe());
            }
        }

        /** Requires that a command is accepted and reaches all machines. */
        private void requireConvergence() {
            SimulatedInstance leader = mSimulation.leader();
            if (leader == null) {
                mViolations.add("no leader at the end: " + describe());
                return;
            }
            leader.receive(mSimulation.nextProposal());
            advance(2_000);
            for (SimulatedInstance each : mPresent) {
                mSimulation.mOracle.checkFinalState(each.mState);
            }
        }

        private String describe() {
            StringBuilder text = new StringBuilder();
            for (SimulatedInstance each : mPresent) {
                text.append(each.mId.value()).append(' ');
                if (!each.isRunning()) {
                    text.append("down; ");
                    continue;
                }
                text.append(each.consensus().lastIndex()).append(" [");
                for (Member member : each.consensus().membership().members()) {
                    text.append(member.replica().instance().value())
                            .append('=')
                            .append(member.kind())
                            .append(' ');
                }
                text.append("]; ");
            }
            return text.toString();
        }

        private void advance(long millis) {
            advanceUntil(mSimulation.mNowNanos + mSimulation.millisToNanos(millis));
        }

        /** Lets a fault happen up to 8 ms after one of the next changes of the members. */
        private void armFault(MomentFault fault) {
            SimulatedInstance leader = mSimulation.leader();
            mMomentFault = leader == null ? MomentFault.NONE : fault;
            mChangesBeforeFault = 1 + mRandom.nextInt(3);
            mLastMembership = leader == null ? Membership.NONE : leader.consensus().membership();
        }

        private void injectArmedFault() {
            SimulatedInstance leader = mSimulation.leader();
            if (mMomentFault == MomentFault.NONE || leader == null) {
                return;
            }
            Membership membership = leader.consensus().membership();
            if (membership.equals(mLastMembership)) {
                return;
            }
            mLastMembership = membership;
            mChangesBeforeFault--;
            if (mChangesBeforeFault > 0) {
                return;
            }
            MomentFault fault = mMomentFault;
            mMomentFault = MomentFault.NONE;
            mSimulation.advance(
                    mSimulation.mNowNanos + mRandom.nextLong(mSimulation.millisToNanos(8)));
            switch (fault) {
                case LEADER_KILLED -> crash(leader);
                case POWER_LOST -> List.copyOf(mPresent).forEach(this::crash);
                case DISK_LOST -> loseDisk(mPresent.get(mRandom.nextInt(mPresent.size())));
                default -> throw new IllegalStateException(fault.name());
            }
        }

        private void advanceUntil(long endNanos) {
            while (mSimulation.mNowNanos < endNanos) {
                long nextNanos = Math.min(endNanos, mNextTickNanos);
                if (mMomentFault != MomentFault.NONE) {
                    long stepNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(1);
                    nextNanos = Math.min(nextNanos, stepNanos);
                }
                mSimulation.advance(nextNanos);
                injectArmedFault();
                if (mSimulation.mNowNanos >= mNextTickNanos) {
                    mNextTickNanos += mSimulation.millisToNanos(TICK_MILLIS);
                    tick();
                }
            }
        }

        private void tick() {
            for (SimulatedInstance each : mPresent) {
                if (each.isRunning()) {
                    record(each);
                }
            }
            SimulatedInstance leader = mSimulation.leader();
            if (leader != null) {
                reconcile(leader);
            }
        }

        private void record(SimulatedInstance instance) {
            VoterReconciler reconciler = reconciler(instance);
            reconciler.recordRunning(mSimulation.mNowNanos);
            reconciler.recordLeaving(mLeaving);
            reconciler.recordResponsive(
                    mSimulation.mNowNanos, mSimulation.instancesInTouchWith(instance));
        }

        private void reconcile(SimulatedInstance leader) {
            VoterChange change =
                    reconciler(leader)
                            .nextChange(
                                    mSimulation.mNowNanos,
                                    leader.consensus().membership(),
                                    mSimulation.instancesInTouchWith(leader));
            if (change != null && mRule.allows(change, this, leader)) {
                leader.receive(new ConsensusEvent.ChangeVoters(mNextTicket--, change));
            }
        }

        private VoterReconciler reconciler(SimulatedInstance instance) {
            return mReconcilers.computeIfAbsent(
                    instance.mId, key -> VoterReconciler.create(mFleet.toleratedLosses()));
        }
    }

    private static List<String> violations(Fleet fleet, Departure departure) {
        return violations(fleet, departure, Rule.CURRENT);
    }

    private static List<String> violations(Fleet fleet, Departure departure, Rule rule) {
        return violations(seed -> new History(seed, fleet, departure, rule).run());
    }

    private static List<String> violationsInChanges(
            Fleet fleet, Departure departure, MomentFault fault) {
        return violations(
                seed ->
                        new History(seed, fleet, departure, Rule.CURRENT)
                                .runWithFaultsInChanges(fault));
    }

    private static List<String> violations(LongFunction<List<String>> histories) {
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        LongStream.range(0, HISTORIES)
                .parallel()
                .forEach(
                        seed -> {
                            for (String each : histories.apply(seed)) {
                                violations.add("seed " + seed + ": " + each);
                            }
                        });
        Collections.sort(violations);
        return violations.subList(0, Math.min(10, violations.size()));
    }

    /** Guards against a majority that is lost with a disk after the successor's time to sync. */
    @Test
    void successorOfALostMachineVotes() {
        assertEquals(List.of(), violations(Fleet.SMALL, Departure.LOST));
    }

    /** Guards against a learner that an earlier leader added and that waits for its seat. */
    @Test
    void waitingLearnerTakesTheSeatOfALostMachine() {
        assertEquals(List.of(), violations(Fleet.SMALL, Departure.LOST_AFTER_START));
    }

    /** Guards against a majority that is lost with a disk right after a planned stop. */
    @Test
    void stoppedMachineLeavesItsSeat() {
        assertEquals(List.of(), violations(Fleet.SMALL, Departure.STOPPED));
    }

    /** Guards against a seat that a lost machine keeps because there are more controllers. */
    @Test
    void lostMachineLeavesItsSeatWithASpare() {
        assertEquals(List.of(), violations(Fleet.SMALL_WITH_SPARE, Departure.LOST));
    }

    /** Guards against the same where two disks may be lost. */
    @Test
    void successorOfALostMachineVotesAmongFive() {
        assertEquals(List.of(), violations(Fleet.LARGE, Departure.LOST));
    }

    /** Guards against the same after a planned stop. */
    @Test
    void stoppedMachineLeavesItsSeatAmongFive() {
        assertEquals(List.of(), violations(Fleet.LARGE, Departure.STOPPED));
    }

    /** Guards against the same with spare controllers. */
    @Test
    void lostMachineLeavesItsSeatAmongFiveWithSpares() {
        assertEquals(List.of(), violations(Fleet.LARGE_WITH_SPARES, Departure.LOST));
    }

    private static void assertCaught(Fleet fleet, Departure departure, Rule rule) {
        List<String> violations = violations(fleet, departure, rule);
        assertTrue(
                violations.stream().anyMatch(each -> each.contains("no leader")),
                violations.toString());
    }

    /** Guards against histories that do not exercise a seat that is kept while a spare waits. */
    @Test
    void historiesCatchASpareThatWaits() {
        assertCaught(Fleet.SMALL_WITH_SPARE, Departure.LOST, Rule.SPARES_WAIT);
    }

    /** Guards against histories that do not exercise a stop that is not announced. */
    @Test
    void historiesCatchASilentStop() {
        assertCaught(Fleet.SMALL, Departure.STOPPED, Rule.STOPS_SILENTLY);
    }

    /** Guards against a leader that goes, or a loss of power, while a lost voter is replaced. */
    @ParameterizedTest
    @EnumSource(names = {"LEADER_KILLED", "POWER_LOST"})
    void changesAfterALossSurvive(MomentFault fault) {
        assertEquals(List.of(), violationsInChanges(Fleet.SMALL, Departure.LOST, fault));
        assertEquals(List.of(), violationsInChanges(Fleet.SMALL_WITH_SPARE, Departure.LOST, fault));
        assertEquals(List.of(), violationsInChanges(Fleet.LARGE, Departure.LOST, fault));
    }

    /** Guards against the same, or a lost disk, while a leaving voter is replaced. */
    @ParameterizedTest
    @EnumSource(names = {"LEADER_KILLED", "POWER_LOST", "DISK_LOST"})
    void changesOfAPlannedStopSurvive(MomentFault fault) {
        assertEquals(List.of(), violationsInChanges(Fleet.SMALL, Departure.STOPPED, fault));
        assertEquals(
                List.of(), violationsInChanges(Fleet.SMALL_WITH_SPARE, Departure.STOPPED, fault));
        assertEquals(List.of(), violationsInChanges(Fleet.LARGE, Departure.STOPPED, fault));
    }
}
