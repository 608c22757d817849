package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.rollout.internal.CellKey;
import org.hemlockrack.rollout.internal.EvidenceTable;
import org.hemlockrack.rollout.internal.SequentialTest;

class EvidenceCollectorProperties {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ModelVersion OLD = ModelVersion.of("m", "1");
    private static final ModelVersion NEW = ModelVersion.of("m", "2");
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int REQUESTS = 12_000;

    /** How the new version behaves. */
    private enum Behaviour {
        GOOD,
        FAILS_AT_ONCE,
        SLOW_AT_ONCE,
        FAILS_LATE,
        FAILS_UNDER_LOAD,
        FAILS_ON_SEGMENT;

        private double errorRate(int request, int segment, LoadLevel level) {
            boolean fails =
                    switch (this) {
                        case GOOD, SLOW_AT_ONCE -> false;
                        case FAILS_AT_ONCE -> true;
                        case FAILS_LATE -> request > REQUESTS / 2;
                        case FAILS_UNDER_LOAD -> level == LoadLevel.HIGH;
                        case FAILS_ON_SEGMENT -> segment == 0;
                    };
            return fails ? 0.5 : 0.01;
        }
    }

    /**
     * Guards against traffic to a faulty version after this instance has stopped it, against faults
     * of each kind that are not detected, and against detected faults that are not reported.
     */
    @Example
    void everyKindOfFaultStopsLocally() {
        for (Behaviour behaviour : Behaviour.values()) {
            for (long seed = 0; seed < 20; seed++) {
                Scenario scenario = new Scenario(seed, behaviour, 1e-5);
                scenario.run();
                boolean isFaulty = behaviour != Behaviour.GOOD;
                assertEquals(isFaulty, scenario.mStops > 0, behaviour + " seed " + seed);
                assertEquals(isFaulty, scenario.mFaultReports > 0, behaviour + " seed " + seed);
                assertEquals(0, scenario.mRequestsAfterStop, behaviour + " seed " + seed);
            }
        }
    }

    /**
     * Guards against more false alarms than configured: with a rate of 5% per roll-out, 400 good
     * roll-outs may give at most 32 (the 99% bound of the binomial distribution).
     */
    @Example
    void falseAlarmsStayBelowConfiguredRate() {
        assertTrue(falseAlarms(0.05) <= 32);
    }

    /**
     * Verifies the test above: it must fail for a detector that uses its whole false-alarm rate at
     * every look.
     */
    @Example
    void raisedFalseAlarmRateIsDetected() {
        // The factor cancels the division of the rate among cells, bounds, windows and looks.
        assertTrue(falseAlarms(1e5) > 32);
    }

    private static int falseAlarms(double rate) {
        int alarms = 0;
        for (long seed = 0; seed < 400; seed++) {
            Scenario scenario = new Scenario(seed, Behaviour.GOOD, rate);
            scenario.mRequests = 3_000;
            scenario.run();
            alarms += scenario.mStops;
        }
        System.out.println("local false alarms at rate " + rate + ": " + alarms + " of 400");
        return alarms;
    }

    private static final class Scenario {
        private final SplittableRandom mRandom;
        private final Behaviour mBehaviour;
        private final LocalTrafficSplit mTrafficSplit = LocalTrafficSplit.create();
        private final EvidenceCollector mCollector;
        private int mRequests = REQUESTS;
        private int mStops;
        private int mFaultReports;
        private int mRequestsAfterStop;

        Scenario(long seed, Behaviour behaviour, double rate) {
            mRandom = new SplittableRandom(seed);
            mBehaviour = behaviour;
            RolloutSettings defaults = RolloutSettings.forFleet(8);
            RolloutSettings settings =
                    new RolloutSettings(
                            rate,
                            defaults.fleetFalseAlarmRate(),
                            defaults.reportNanos(),
                            defaults.minStageNanos(),
                            defaults.maxStageNanos(),
                            defaults.minStageRequests(),
                            defaults.minJudgedRequests(),
                            defaults.maxConcurrentLoads(),
                            defaults.loadTimeoutNanos(),
                            defaults.loadEstimateNanos(),
                            defaults.drainNanos());
            mCollector = EvidenceCollector.of(InstanceId.of("i"), 1, settings, mTrafficSplit);
        }

        void run() {
            Rollout rollout =
                    new Rollout(
                            1,
                            1,
                            SERVICE,
                            OLD,
                            NEW,
                            1_000_000,
                            0.25,
                            false,
                            "op",
                            0,
                            1,
                            0,
                            RolloutStatus.RUNNING,
                            RolloutReason.NONE,
                            "");
            long now = 0;
            mCollector.onEvent(
                    now, new EvidenceEvent.RolloutsLearned(List.of(rollout)), this::handleOutput);
            for (int i = 0; i < mRequests; i++) {
                now += STEP_NANOS;
                mCollector.onEvent(now, request(i), this::handleOutput);
                if (now >= mCollector.nextTimerNanos()) {
                    mCollector.onTimer(now, this::handleOutput);
                }
            }
        }

        private EvidenceEvent request(int number) {
            ModelVersion version = mTrafficSplit.chooseVersion(SERVICE, OLD, mRandom.nextLong());
            boolean isNew = version.equals(NEW);
            mRequestsAfterStop += isNew && mStops > 0 ? 1 : 0;
            int segment = mRandom.nextInt(4);
            LoadLevel level = LoadLevel.values()[mRandom.nextInt(3)];
            TrafficSegment trafficSegment =
                    new TrafficSegment(WorkspaceId.of("w" + segment), RequestKind.CHAT);
            double rate = isNew ? mBehaviour.errorRate(number, segment, level) : 0.01;
            if (mRandom.nextDouble() < rate) {
                return new EvidenceEvent.RequestFailed(SERVICE, version, trafficSegment, level);
            }
            double latencyFactor = isNew && mBehaviour == Behaviour.SLOW_AT_ONCE ? 3 : 1;
            double millis = 200 * latencyFactor * Math.exp(0.4 * mRandom.nextGaussian());
            return new EvidenceEvent.RequestAnswered(
                    SERVICE, version, trafficSegment, level, (long) (millis * 1_000_000));
        }

        private void handleOutput(EvidenceOutput output) {
            if (output instanceof EvidenceOutput.LocallyStopped) {
                mStops++;
                assertEquals(0, mTrafficSplit.permittedShare(SERVICE, NEW));
            } else if (output instanceof EvidenceOutput.ProposeReport report) {
                byte[] bytes = report.command().encode();
                assertTrue(bytes.length <= 10 << 10, "report of " + bytes.length + " bytes");
                assertEquals(report.command(), RolloutCommand.decode(bytes));
                mFaultReports += report.command() instanceof RolloutCommand.ReportFault ? 1 : 0;
            }
        }
    }

    /** Guards against statistics that depend on the order in which reports arrive. */
    @Property(tries = 100)
    void mergesAreOrderIndependent(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EvidenceCell> cells = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            VersionStats stats = VersionStats.create();
            stats.addAnswer(random.nextLong(10_000_000_000L));
            stats.addError();
            TrafficSegment segment =
                    new TrafficSegment(WorkspaceId.of("w" + i % 5), RequestKind.CHAT);
            LoadLevel level = LoadLevel.of(random.nextDouble());
            cells.add(new EvidenceCell(segment, level, stats, VersionStats.create()));
        }
        EvidenceTable table = table(cells);
        Collections.shuffle(cells, new Random(seed));
        EvidenceTable shuffledTable = table(cells);
        assertEquals(table.cells().keySet(), shuffledTable.cells().keySet());
        table.cells()
                .forEach(
                        (key, cell) ->
                                assertEquals(cell.stage(), shuffledTable.cells().get(key).stage()));
    }

    private static EvidenceTable table(List<EvidenceCell> cells) {
        EvidenceTable table = EvidenceTable.create();
        for (EvidenceCell cell : cells) {
            table.add(new CellKey(cell.segment(), cell.level()), cell.newer(), cell.older());
        }
        return table;
    }

    /**
     * Guards against a bound below the exact tail probability of the hypergeometric distribution.
     */
    @Property(tries = 300)
    void boundIsAboveExactTail(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int newer = 1 + random.nextInt(30);
        int older = 1 + random.nextInt(200);
        int hits = 1 + random.nextInt(Math.min(20, newer + older));
        double tail = 0;
        for (int x = Math.min(newer, hits); x >= Math.max(0, hits - older); x--) {
            tail +=
                    Math.exp(
                            logBinomial(newer, x)
                                    + logBinomial(older, hits - x)
                                    - logBinomial(newer + older, hits));
            SequentialTest.Stratum stratum = new SequentialTest.Stratum(newer, older, x, hits - x);
            double bound = SequentialTest.logBound(List.of(stratum));
            assertTrue(bound >= Math.log(tail) - 1e-9, "bound " + bound + " of " + tail);
        }
    }

    private static double logBinomial(int n, int k) {
        double log = 0;
        for (int i = 1; i <= k; i++) {
            log += Math.log((double) (n - k + i) / i);
        }
        return log;
    }
}
