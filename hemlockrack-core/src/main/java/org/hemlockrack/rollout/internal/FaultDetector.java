package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.rollout.Finding;
import org.hemlockrack.rollout.RolloutReason;
import org.hemlockrack.rollout.Stages;
import org.hemlockrack.rollout.VersionStats;
import org.hemlockrack.rollout.internal.SequentialTest.Stratum;
import org.jspecify.annotations.Nullable;

/**
 * Decides from an {@link EvidenceTable} whether the new version is faulty.
 *
 * <p>The new version is compared with the old one in each cell and over all cells, stratified by
 * cell. A failed request is an error; an answer is slow by a bucket bound if the new version
 * reaches the next higher bound, so up to 19% slower answers are allowed. The false-alarm rate is
 * divided over stage and window, the two kinds of fault, the bucket bounds, single cells and the
 * sum, and all looks (union bound), so it holds for a whole roll-out however often it is asked.
 */
public final class FaultDetector {
    private static final int TOLERANCE_BUCKETS = 1;

    /** Every second bound is tested, which keeps the resolution at 41%. */
    private static final int BOUND_STEP = 2;

    private static final double LOG_HALF = -Math.log(2);
    private static final double LOG_BOUNDS = Math.log(VersionStats.BUCKETS / (double) BOUND_STEP);
    private static final double LOG_CELLS = Math.log(EvidenceTable.MAX_CELLS);

    private final double mLogRate;
    private final Map<CellKey, Looks> mCellLooks = new HashMap<>();
    private final Looks mAllLooks = new Looks();
    private int mStage;
    private double mSuspicion;

    /** The looks already taken; a look is never taken twice on more data. */
    private static final class Looks {
        private int mStageLook;
        private int mWindowLook;
        private long mWindow = -1;
    }

    private FaultDetector(double falseAlarmRate) {
        mLogRate = Math.log(falseAlarmRate);
    }

    /**
     * Creates a detector.
     *
     * @param falseAlarmRate largest probability of a finding in one roll-out of a version that
     *     behaves as the old one does
     * @return the detector
     */
    public static FaultDetector of(double falseAlarmRate) {
        return new FaultDetector(falseAlarmRate);
    }

    /**
     * Returns the logarithm of the smallest probability bound of the last test, without the
     * division of the false-alarm rate; near 0 if nothing is suspicious.
     */
    public double suspicion() {
        return mSuspicion;
    }

    /**
     * Tests the evidence after a change.
     *
     * @param table the evidence
     * @param stage number of the stage
     * @param changed cells that were added to
     * @return the fault, if the evidence shows one
     */
    public Optional<Finding> test(EvidenceTable table, int stage, Collection<CellKey> changed) {
        if (stage != mStage) {
            mStage = stage;
            mCellLooks.clear();
            mAllLooks.mStageLook = 0;
            mAllLooks.mWindow = -1;
        }
        mSuspicion = 0;
        for (CellKey key : changed) {
            Cell cell = table.cells().get(key);
            if (cell == null) {
                continue;
            }
            Looks looks = mCellLooks.computeIfAbsent(key, any -> new Looks());
            Finding found = look(table, looks, List.of(cell), mLogRate + LOG_HALF - LOG_CELLS, key);
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.ofNullable(
                look(table, mAllLooks, table.cells().values(), mLogRate + LOG_HALF, "all routes"));
    }

    private @Nullable Finding look(
            EvidenceTable table,
            Looks looks,
            Collection<Cell> cells,
            double logRate,
            Object where) {
        if (looks.mWindow != table.window()) {
            looks.mWindow = table.window();
            looks.mWindowLook = 0;
        }
        int stageLook = SequentialTest.look(requests(cells, false));
        if (stageLook > looks.mStageLook) {
            looks.mStageLook = stageLook;
            double rate =
                    logRate
                            + LOG_HALF
                            - Math.log(Stages.count())
                            + SequentialTest.logShare(stageLook);
            Finding found = compare(comparisons(cells, false), rate, where);
            if (found != null) {
                return found;
            }
        }
        int windowLook = SequentialTest.look(requests(cells, true));
        if (windowLook <= looks.mWindowLook) {
            return null;
        }
        looks.mWindowLook = windowLook;
        double rate =
                logRate
                        + LOG_HALF
                        + SequentialTest.logShare(windowLook)
                        + SequentialTest.logShare(table.window() + 1);
        return compare(comparisons(cells, true), rate, where);
    }

    private @Nullable Finding compare(List<Comparison> pairs, double logRate, Object where) {
        double errors = SequentialTest.logBound(errorStrata(pairs));
        mSuspicion = Math.min(mSuspicion, errors);
        if (errors < logRate + LOG_HALF) {
            return finding(RolloutReason.ERRORS, pairs, where);
        }
        List<long[]> newer = pairs.stream().map(pair -> pair.newer().atLeast()).toList();
        List<long[]> older = pairs.stream().map(pair -> pair.older().atLeast()).toList();
        for (int bound = 1; bound + TOLERANCE_BUCKETS < VersionStats.BUCKETS; bound += BOUND_STEP) {
            double slow = SequentialTest.logBound(slowStrata(newer, older, bound));
            mSuspicion = Math.min(mSuspicion, slow);
            if (slow < logRate + LOG_HALF - LOG_BOUNDS) {
                return finding(RolloutReason.SLOW, pairs, where);
            }
        }
        return null;
    }

    private static List<Stratum> errorStrata(List<Comparison> pairs) {
        List<Stratum> strata = new ArrayList<>(pairs.size());
        for (Comparison pair : pairs) {
            strata.add(
                    new Stratum(
                            pair.newer().requests(),
                            pair.older().requests(),
                            pair.newer().errors(),
                            pair.older().errors()));
        }
        return strata;
    }

    private static List<Stratum> slowStrata(List<long[]> newer, List<long[]> older, int bound) {
        List<Stratum> strata = new ArrayList<>(newer.size());
        for (int i = 0; i < newer.size(); i++) {
            long[] slower = newer.get(i);
            long[] reference = older.get(i);
            strata.add(
                    new Stratum(
                            slower[0],
                            reference[0],
                            slower[bound + TOLERANCE_BUCKETS],
                            reference[bound]));
        }
        return strata;
    }

    private static List<Comparison> comparisons(Collection<Cell> cells, boolean window) {
        List<Comparison> pairs = new ArrayList<>(cells.size());
        for (Cell cell : cells) {
            pairs.add(window ? cell.window() : cell.stage());
        }
        return pairs;
    }

    private static long requests(Collection<Cell> cells, boolean window) {
        long sum = 0;
        for (Cell cell : cells) {
            sum += (window ? cell.window() : cell.stage()).newer().requests();
        }
        return sum;
    }

    private static Finding finding(RolloutReason reason, List<Comparison> pairs, Object where) {
        long newer = 0;
        long newerErrors = 0;
        long older = 0;
        long olderErrors = 0;
        for (Comparison pair : pairs) {
            newer += pair.newer().requests();
            newerErrors += pair.newer().errors();
            older += pair.older().requests();
            olderErrors += pair.older().errors();
        }
        String text = "%s on %s: new version %d of %d failed, old version %d of %d";
        return new Finding(
                reason, String.format(text, reason, where, newerErrors, newer, olderErrors, older));
    }
}
