package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.rollout.DetectedFault;
import org.hemlockrack.rollout.RolloutReason;
import org.hemlockrack.rollout.Stages;
import org.hemlockrack.rollout.VersionStats;
import org.hemlockrack.rollout.internal.SequentialTest.Stratum;
import org.jspecify.annotations.Nullable;

/**
 * Tests the request statistics in an {@link EvidenceTable} for a fault of the new version.
 *
 * <p>The new version is compared with the old one in each cell and over all cells, stratified by
 * cell. Failed requests are compared directly. For latency, the answers of the new version that
 * reach the next higher bucket bound are compared with the answers of the old version that reach
 * the bound itself, so answers that are up to 19% slower are tolerated. The false-alarm rate is
 * divided (union bound) among stage and window statistics, the stages, the windows, errors and
 * latency, the bucket bounds, single cells and all cells together, and all interim looks. It
 * therefore holds for a whole roll-out, however often the test runs.
 */
public final class FaultDetector {
    private static final int TOLERANCE_BUCKETS = 1;

    /** Only every second bucket bound is tested, which gives a resolution of 41%. */
    private static final int BOUND_STEP = 2;

    private static final double LOG_HALF = -Math.log(2);
    private static final double LOG_BOUNDS = Math.log(VersionStats.BUCKETS / (double) BOUND_STEP);
    private static final double LOG_CELLS = Math.log(EvidenceTable.MAX_CELLS);

    private final double mLogFalseAlarmRate;
    private final Map<CellKey, LookState> mCellLooks = new HashMap<>();
    private final LookState mPooledLooks = new LookState();
    private int mStage;
    private double mLowestLogBound;

    /**
     * Numbers of the last interim looks; the next test runs only when the data reach a new look.
     */
    private static final class LookState {
        private int mStageLook;
        private int mWindowLook;
        private long mWindow = -1;
    }

    private FaultDetector(double falseAlarmRate) {
        mLogFalseAlarmRate = Math.log(falseAlarmRate);
    }

    /**
     * Creates a detector.
     *
     * @param falseAlarmRate largest probability that a fault is reported during one roll-out of a
     *     version that behaves like the old one
     * @return the detector
     */
    public static FaultDetector of(double falseAlarmRate) {
        return new FaultDetector(falseAlarmRate);
    }

    /**
     * Returns the natural logarithm of the smallest probability bound in the last test, without
     * regard to the division of the false-alarm rate; near 0 if the versions behave alike.
     */
    public double lowestLogBound() {
        return mLowestLogBound;
    }

    /**
     * Tests the statistics after a change.
     *
     * @param table the statistics
     * @param stage number of the stage
     * @param changed keys of the cells that have changed
     * @return the fault, if the statistics show one
     */
    public Optional<DetectedFault> test(
            EvidenceTable table, int stage, Collection<CellKey> changed) {
        if (stage != mStage) {
            mStage = stage;
            mCellLooks.clear();
            mPooledLooks.mStageLook = 0;
            mPooledLooks.mWindow = -1;
        }
        mLowestLogBound = 0;
        for (CellKey key : changed) {
            CellEvidence cell = table.cells().get(key);
            if (cell == null) {
                continue;
            }
            LookState lookState = mCellLooks.computeIfAbsent(key, any -> new LookState());
            DetectedFault fault =
                    testIfDue(
                            table,
                            lookState,
                            List.of(cell),
                            mLogFalseAlarmRate + LOG_HALF - LOG_CELLS,
                            key);
            if (fault != null) {
                return Optional.of(fault);
            }
        }
        return Optional.ofNullable(
                testIfDue(
                        table,
                        mPooledLooks,
                        table.cells().values(),
                        mLogFalseAlarmRate + LOG_HALF,
                        "all traffic"));
    }

    /**
     * Tests the stage and the window if an interim look is due; returns null if there is no fault.
     */
    private @Nullable DetectedFault testIfDue(
            EvidenceTable table,
            LookState lookState,
            Collection<CellEvidence> cells,
            double logRate,
            Object scope) {
        if (lookState.mWindow != table.window()) {
            lookState.mWindow = table.window();
            lookState.mWindowLook = 0;
        }
        int stageLook = SequentialTest.lookNumber(requests(cells, false));
        if (stageLook > lookState.mStageLook) {
            lookState.mStageLook = stageLook;
            double rate =
                    logRate
                            + LOG_HALF
                            - Math.log(Stages.count())
                            + SequentialTest.logAlphaShare(stageLook);
            DetectedFault fault = findFault(comparisons(cells, false), rate, scope);
            if (fault != null) {
                return fault;
            }
        }
        int windowLook = SequentialTest.lookNumber(requests(cells, true));
        if (windowLook <= lookState.mWindowLook) {
            return null;
        }
        lookState.mWindowLook = windowLook;
        double rate =
                logRate
                        + LOG_HALF
                        + SequentialTest.logAlphaShare(windowLook)
                        + SequentialTest.logAlphaShare(table.window() + 1);
        return findFault(comparisons(cells, true), rate, scope);
    }

    /**
     * Compares error rates and latencies; returns null if no bound is below the given false-alarm
     * rate.
     */
    private @Nullable DetectedFault findFault(
            List<VersionComparison> pairs, double logRate, Object scope) {
        double errorBound = SequentialTest.logBound(errorStrata(pairs));
        mLowestLogBound = Math.min(mLowestLogBound, errorBound);
        if (errorBound < logRate + LOG_HALF) {
            return createFault(RolloutReason.ERRORS, pairs, scope);
        }
        List<long[]> newer = pairs.stream().map(pair -> pair.newer().countsAtLeast()).toList();
        List<long[]> older = pairs.stream().map(pair -> pair.older().countsAtLeast()).toList();
        for (int bound = 1; bound + TOLERANCE_BUCKETS < VersionStats.BUCKETS; bound += BOUND_STEP) {
            double slowBound = SequentialTest.logBound(slowStrata(newer, older, bound));
            mLowestLogBound = Math.min(mLowestLogBound, slowBound);
            if (slowBound < logRate + LOG_HALF - LOG_BOUNDS) {
                return createFault(RolloutReason.SLOW, pairs, scope);
            }
        }
        return null;
    }

    private static List<Stratum> errorStrata(List<VersionComparison> pairs) {
        List<Stratum> strata = new ArrayList<>(pairs.size());
        for (VersionComparison pair : pairs) {
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
            long[] newerCounts = newer.get(i);
            long[] olderCounts = older.get(i);
            strata.add(
                    new Stratum(
                            newerCounts[0],
                            olderCounts[0],
                            newerCounts[bound + TOLERANCE_BUCKETS],
                            olderCounts[bound]));
        }
        return strata;
    }

    private static List<VersionComparison> comparisons(
            Collection<CellEvidence> cells, boolean window) {
        List<VersionComparison> pairs = new ArrayList<>(cells.size());
        for (CellEvidence cell : cells) {
            pairs.add(window ? cell.window() : cell.stage());
        }
        return pairs;
    }

    private static long requests(Collection<CellEvidence> cells, boolean window) {
        long sum = 0;
        for (CellEvidence cell : cells) {
            sum += (window ? cell.window() : cell.stage()).newer().requests();
        }
        return sum;
    }

    private static DetectedFault createFault(
            RolloutReason reason, List<VersionComparison> pairs, Object scope) {
        long newer = 0;
        long newerErrors = 0;
        long older = 0;
        long olderErrors = 0;
        for (VersionComparison pair : pairs) {
            newer += pair.newer().requests();
            newerErrors += pair.newer().errors();
            older += pair.older().requests();
            olderErrors += pair.older().errors();
        }
        String text = "%s on %s: new version %d of %d failed, old version %d of %d";
        return new DetectedFault(
                reason, String.format(text, reason, scope, newerErrors, newer, olderErrors, older));
    }
}
