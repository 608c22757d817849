package org.hemlockrack.consensus.internal.file;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.consensus.disk.DiskOperation;
import org.hemlockrack.consensus.disk.FaultyDisk;
import org.hemlockrack.consensus.disk.PowerLoss;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays random histories of a log store on a disk that refuses operations and loses power. */
class FileLogStoreHistoriesTest {
    private static final int STEPS = 150;

    /** Faults of the disk that begin at a random operation. */
    private enum Fault {
        LOSS_OF_POWER {
            @Override
            FaultyDisk.Faults at(long first, long last) {
                return (operation, number) -> {
                    if (number >= first) {
                        throw new FaultyDisk.PowerLostException();
                    }
                    return false;
                };
            }
        },
        REFUSED {
            @Override
            FaultyDisk.Faults at(long first, long last) {
                return (operation, number) -> number >= first && number <= last;
            }
        },
        FULL {
            @Override
            FaultyDisk.Faults at(long first, long last) {
                return (operation, number) ->
                        operation.needsSpace() && number >= first && number <= last;
            }
        },
        REFUSED_SYNC {
            @Override
            FaultyDisk.Faults at(long first, long last) {
                return (operation, number) ->
                        operation == DiskOperation.SYNC && number >= first && number <= last;
            }
        },
        /** A full disk that loses power. */
        FULL_UNTIL_LOSS {
            @Override
            FaultyDisk.Faults at(long first, long last) {
                FaultyDisk.Faults full = FULL.at(first, last);
                FaultyDisk.Faults loss = LOSS_OF_POWER.at(last, last);
                return (operation, number) ->
                        loss.refuses(operation, number) || full.refuses(operation, number);
            }
        };

        abstract FaultyDisk.Faults at(long first, long last);

        static FaultyDisk.Faults next(SplittableRandom random, List<Fault> faults) {
            long first = random.nextInt(1, 40);
            long last = first + random.nextInt(random.nextBoolean() ? 3 : 30);
            return faults.get(random.nextInt(faults.size())).at(first, last);
        }
    }

    private static void playRandomStep(StoreHistory history, SplittableRandom random) {
        ExpectedStore expected = history.expected();
        long term = expected.hardState().term();
        long last = expected.lastIndex();
        switch (random.nextInt(16)) {
            case 0 -> history.perform(h -> h.vote(term + 1, random.nextInt(3)));
            case 1 -> history.perform(h -> h.saveSnapshot(last - random.nextInt(5)));
            case 2 -> history.perform(StoreHistory::closeAndOpen);
            case 3 -> history.perform(StoreHistory::killAndOpen);
            case 4 -> {
                if (random.nextInt(4) == 0) {
                    int sizeBytes = random.nextInt(1, 9_000);
                    history.perform(h -> h.installSnapshot(last + 10, term, sizeBytes));
                }
            }
            case 5, 6 -> {
                // Another leader replaces the tail.
                long first = Math.max(expected.committedIndex(), last - random.nextInt(8)) + 1;
                int sizeBytes = random.nextBoolean() ? 100 : random.nextInt(600);
                history.perform(h -> h.vote(term + 1, 0));
                history.perform(h -> h.append(first, first + 2, term + 1, sizeBytes));
            }
            case 7, 8, 9, 10 -> history.perform(StoreHistory::sync);
            default -> {
                int count = random.nextInt(1, 6);
                int sizeBytes = random.nextBoolean() ? 100 : random.nextInt(600);
                history.perform(h -> h.append(last + 1, last + count, term, sizeBytes));
            }
        }
    }

    private static StoreHistory create(long seed, SplittableRandom random) {
        PowerLoss[] losses = PowerLoss.values();
        StoreHistory history = StoreHistory.create(seed, losses[random.nextInt(losses.length)]);
        history.disk().setFailedSync(losses[random.nextInt(losses.length)]);
        history.disk().setTornSixteenths(random.nextInt(17));
        return history;
    }

    private static void play(StoreHistory history, SplittableRandom random, List<Fault> faults)
            throws IOException {
        history.perform(StoreHistory::closeAndOpen);
        history.perform(h -> h.vote(1, 0));
        for (int i = 0; i < STEPS; i++) {
            if (random.nextInt(8) == 0) {
                history.clearFaultsAfterLoss();
                history.disk().setFaults(Fault.next(random, faults));
                while (random.nextBoolean()) {
                    // Once more while it starts.
                    history.addFaultsAfterLoss(Fault.next(random, faults));
                }
            }
            playRandomStep(history, random);
        }
        history.end();
    }

    private static void playHistories(List<Fault> faults, boolean kills) throws IOException {
        long histories = Long.getLong("histories", 100);
        PlayFailures failures = new PlayFailures();
        long losses = 0;
        long refusals = 0;
        for (long seed = 0; seed < histories; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StoreHistory history = create(seed, random);
            if (kills) {
                history.killAfterFailures();
            }
            failures.run("seed " + seed, () -> play(history, random, faults));
            losses += history.losses();
            refusals += history.failures();
        }
        System.out.printf(
                "faults=%s kills=%s histories=%d losses=%d failures=%d%n",
                faults, kills, histories, losses, refusals);
        failures.requireNone();
    }

    /**
     * Guards against a replica that forgets what it has acknowledged, takes a new id or does not
     * return after faults of one kind.
     */
    @ParameterizedTest
    @EnumSource
    void nothingIsLostByFaultsOfOneKind(Fault fault) throws IOException {
        playHistories(List.of(fault), false);
    }

    /** Guards against the same after faults of all kinds. */
    @Test
    void nothingIsLostByFaultsOfAllKinds() throws IOException {
        playHistories(Arrays.asList(Fault.values()), false);
    }

    /**
     * Guards against entries that can be read and are not durable, as the process was killed after
     * a sync had failed.
     */
    @Test
    void nothingIsLostByKillsAfterFailures() throws IOException {
        playHistories(Arrays.asList(Fault.values()), true);
    }

    /** Loses power again and again after appends of entries of one size, mostly without a sync. */
    private static void playLosses(StoreHistory history, SplittableRandom random)
            throws IOException {
        history.perform(StoreHistory::closeAndOpen);
        for (long term = 1; term <= 20; term++) {
            long currentTerm = term;
            history.perform(h -> h.vote(currentTerm, 0));
            int count = random.nextInt(1, 5);
            for (int i = 0; i < count; i++) {
                long next = history.expected().lastIndex() + 1;
                history.perform(h -> h.append(next, next, currentTerm, 50));
            }
            if (random.nextInt(4) == 0) {
                history.perform(StoreHistory::sync);
            }
            history.startAfterLossOfPower();
        }
        history.end();
    }

    /** Guards against entries that a loss of power has cut off and the next one brings back. */
    @Test
    void nothingComesBackByRepeatedLossesOfPower() throws IOException {
        long histories = 3 * Long.getLong("histories", 100);
        PlayFailures failures = new PlayFailures();
        for (long seed = 0; seed < histories; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            StoreHistory history = StoreHistory.create(seed, PowerLoss.MIXED);
            failures.run("seed " + seed, () -> playLosses(history, random));
        }
        failures.requireNone();
    }
}
