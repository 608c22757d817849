package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Throwables;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays histories of three replicas with the real store on disks that fill, stall or go dark. */
class ClusterDiskFaultsTest {
    private static final int ROUNDS = 12;
    private static final long MAX_PAUSE_MILLIS = 5_000;
    private static final int PROPOSAL_PERIOD_MILLIS = 20;

    /** What a history reports if a disk has lost what it had synced. */
    private static final String LOSS =
            ".*(is damaged|is missing|took a new id|two commands|two votes|two leaders|lost).*";

    private enum Fault {
        FULL {
            @Override
            void begin(History history, int victim) {
                history.instance(victim).setDiskFull(true);
            }
        },
        STALLED {
            @Override
            void begin(History history, int victim) {
                history.instance(victim).stallDisk(1 + history.mRandom.nextInt(5000));
            }
        },
        CRASH {
            @Override
            void begin(History history, int victim) {
                history.instance(victim).crash(history.mRandom.nextInt(500));
            }
        },
        /** Loses power in the middle of one of the next operations of the disk. */
        CRASH_IN_STEP {
            @Override
            void begin(History history, int victim) {
                history.disk(victim).crashAfter(1 + history.mRandom.nextInt(30));
            }
        },
        /** Loses power, and again while the replica starts. */
        CRASH_TWICE {
            @Override
            void begin(History history, int victim) {
                history.instance(victim).crash(history.mRandom.nextInt(500));
                history.disk(victim).crashAfter(1 + history.mRandom.nextInt(30));
            }
        },
        /** Loses power and finds its disk full. */
        CRASH_AND_FULL {
            @Override
            void begin(History history, int victim) {
                history.instance(victim).crash(history.mRandom.nextInt(500));
                history.instance(victim).setDiskFull(true);
            }
        };

        abstract void begin(History history, int victim);
    }

    private static final class History {
        private final SplittableRandom mRandom;
        private final List<FileDisk> mDisks = new ArrayList<>();
        private final ClusterSimulation mSimulation;
        private final String mIgnoredSyncs;
        private int mFaults;
        private long mLongestPauseMillis;

        History(long seed, String ignoredSyncs) {
            mIgnoredSyncs = ignoredSyncs;
            mRandom = new SplittableRandom(seed);
            mSimulation =
                    new ClusterSimulation(seed, 3, 0, Variant.CORRECT, Set.of(), this::newDisk);
            mSimulation.mKeepsReplicas = true;
        }

        private FileDisk newDisk() {
            List<PowerLoss> losses = Arrays.asList(PowerLoss.values());
            FileDisk disk = new FileDisk(mRandom.split(), losses, true);
            disk.ignoreSyncs(mIgnoredSyncs);
            mDisks.add(disk);
            return disk;
        }

        SimulatedInstance instance(int index) {
            return mSimulation.mInstances.get(index);
        }

        FileDisk disk(int index) {
            return mDisks.get(index);
        }

        void play() {
            mSimulation.requireConvergence();
            for (int i = 0; i < ROUNDS; i++) {
                if (mRandom.nextBoolean()) {
                    beginFaultsInTurn();
                } else {
                    beginFaultsTogether();
                }
                requireChangesByMajority();
            }
            mSimulation.endFaults();
            mSimulation.requireConvergence();
            mSimulation.mInstances.forEach(instance -> instance.crash(0));
            int open = mDisks.stream().mapToInt(FileDisk::openFiles).sum();
            assertEquals(0, open, "files left open");
            assertEquals(List.of(), mSimulation.mOracle.mViolations);
        }

        private void begin(Fault fault, int victim) {
            mFaults++;
            fault.begin(this, victim);
        }

        private Fault nextFault() {
            return Fault.values()[mRandom.nextInt(Fault.values().length)];
        }

        private void beginFaultsInTurn() {
            int first = mRandom.nextInt(3);
            for (int i = 0; i < 3; i++) {
                begin(nextFault(), (first + i) % 3);
                runFor(mRandom.nextInt(1500));
            }
        }

        private void beginFaultsTogether() {
            Fault common = mRandom.nextBoolean() ? nextFault() : null;
            for (int i = 0; i < 3; i++) {
                begin(common == null ? nextFault() : common, i);
            }
            runFor(mRandom.nextInt(1500));
        }

        private void runFor(long millis) {
            long endNanos = mSimulation.mNowNanos + mSimulation.millisToNanos(millis);
            while (mSimulation.mNowNanos < endNanos) {
                propose();
            }
        }

        private void propose() {
            SimulatedInstance leader = mSimulation.leader();
            if (leader != null) {
                leader.receive(mSimulation.nextProposal());
            }
            mSimulation.advance(
                    mSimulation.mNowNanos + mSimulation.millisToNanos(PROPOSAL_PERIOD_MILLIS));
        }

        /** Ends the faults of two or of all three, and requires that a change is taken. */
        private void requireChangesByMajority() {
            int faulty = mRandom.nextInt(4);
            for (int i = 0; i < 3; i++) {
                if (i != faulty) {
                    instance(i).endFaults();
                    disk(i).cancelCrash();
                }
            }
            if (faulty < 3) {
                instance(faulty).setDiskFull(true);
            }
            long startNanos = mSimulation.mNowNanos;
            long command = mSimulation.mOracle.mAcknowledgedIndex;
            while (mSimulation.mOracle.mAcknowledgedIndex == command) {
                propose();
                long millis = (mSimulation.mNowNanos - startNanos) / 1_000_000;
                mLongestPauseMillis = Math.max(mLongestPauseMillis, millis);
                assertEquals(List.of(), mSimulation.mOracle.mViolations);
                assertTrue(millis <= MAX_PAUSE_MILLIS, "no change for " + millis + " ms");
            }
        }
    }

    private record Outcome(int faults, long acknowledged, long pauseMillis, String failure) {}

    private static Outcome play(long seed, String ignoredSyncs) {
        History history = new History(seed, ignoredSyncs);
        String failure = "";
        try {
            history.play();
        } catch (AssertionError | RuntimeException e) {
            failure = "seed " + seed + ": " + Throwables.getStackTraceAsString(e);
        }
        return new Outcome(
                history.mFaults,
                history.mSimulation.mOracle.mIndexByAcknowledgedCommand.size(),
                history.mLongestPauseMillis,
                failure);
    }

    /**
     * Guards against acknowledged changes that are lost, new replica ids, files left open and a
     * majority that can write and takes no change within 5 s, after disks filled, stalled and lost
     * power in turn, together, and again while they recovered.
     */
    @Test
    void nothingIsLostByFaultsOfAllDisks() {
        long histories = Long.getLong("histories", 40);
        List<Outcome> outcomes =
                LongStream.range(0, histories).parallel().mapToObj(seed -> play(seed, "")).toList();
        List<String> failures =
                outcomes.stream().map(Outcome::failure).filter(each -> !each.isEmpty()).toList();
        System.out.printf(
                "cluster histories=%d faults=%d acknowledged=%d longest pause=%d ms failed=%d%n",
                histories,
                outcomes.stream().mapToInt(Outcome::faults).sum(),
                outcomes.stream().mapToLong(Outcome::acknowledged).sum(),
                outcomes.stream().mapToLong(Outcome::pauseMillis).max().orElse(0),
                failures.size());
        assertEquals(List.of(), failures.subList(0, Math.min(5, failures.size())));
    }

    /** Guards against histories that accept a store which leaves out a sync. */
    @ParameterizedTest
    @ValueSource(strings = {".*/log-.*", ".*/meta.*", ".*/snapshot-.*", "/data"})
    void aSyncThatIsLeftOutIsNoticed(String paths) {
        int limit = 60;
        for (long seed = 0; seed < limit; seed++) {
            String failure = play(seed, paths).failure();
            if (!failure.isEmpty()) {
                String what = failure.lines().findFirst().orElseThrow();
                System.out.printf("no sync of %s: %s%n", paths, what);
                assertTrue(what.matches(LOSS), what);
                return;
            }
        }
        assertTrue(false, "no sync of " + paths + " passed " + limit + " histories");
    }
}
