package org.hemlockrack.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.TestFleet;
import org.hemlockrack.platform.TestFleet.Answer;

/**
 * One soak run: callers and an operator send requests continuously, while faults are injected. The
 * seed determines the kinds, targets and times of the faults.
 */
final class SoakRun {
    private static final int CALLERS = 4;
    private static final long CALL_PAUSE_MILLIS = 10;
    private static final int MIN_FAULT_PAUSE_MILLIS = 100;
    private static final int FAULT_PAUSE_JITTER_MILLIS = 900;
    private static final int MIN_FAULT_MILLIS = 200;
    private static final int FAULT_JITTER_MILLIS = 3_800;

    /**
     * Time after the end of all faults in which all gateways must serve again and controllers must
     * return the acknowledged table.
     */
    private static final long RECOVERY_SECONDS = 15;

    private static final int REQUIRED_SUCCESSES = 20;

    private final SoakOptions mOptions;
    private final SplittableRandom mRandom;
    private final SoakFleet mFleet;
    private final GuaranteeChecker mChecker;
    private final List<ActiveFault> mActiveFaults = new ArrayList<>();
    private volatile boolean mFinished;
    private int mFaultCount;

    private record ActiveFault(
            FaultKind kind,
            String target,
            long endNanos,
            Runnable endTask,
            FaultHistory.Span span) {}

    private SoakRun(SoakOptions options, Path folder) {
        mOptions = options;
        mRandom = new SplittableRandom(options.seed());
        mFleet = SoakFleet.start(folder);
        mChecker = new GuaranteeChecker(mFleet.fleet(), mFleet.faultHistory());
    }

    /**
     * Starts a fleet, runs the soak to its end and stops the fleet.
     *
     * @param options options of the run
     * @param folder empty folder for settings, logs and data
     * @return the result with all violations
     */
    static SoakResult run(SoakOptions options, Path folder) {
        SoakRun run = new SoakRun(options, folder);
        try (SoakFleet fleet = run.mFleet) {
            return run.execute(fleet.fleet());
        }
    }

    private SoakResult execute(TestFleet fleet) {
        awaitReady(fleet);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = mRandom.split();
            threads.add(startThread("caller-" + i, () -> runCaller(random)));
        }
        SplittableRandom operatorRandom = mRandom.split();
        threads.add(startThread("operator", () -> runOperator(operatorRandom)));
        injectFaults();
        mActiveFaults.forEach(this::endFault);
        mActiveFaults.clear();
        if (mRandom.nextInt(3) == 0) {
            killAndRestartAll();
        }
        checkRecovery(fleet);
        mFinished = true;
        threads.forEach(SoakRun::join);
        mChecker.checkExecutionCounts();
        return new SoakResult(
                mOptions.seed(), mFaultCount, mChecker.statusCounts(), mChecker.violations());
    }

    static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitReady(TestFleet fleet) {
        fleet.awaitStatus(() -> fleet.publishTable(1, "/v1/", mOptions.brokenVariant()), 200);
        mChecker.onAcknowledged(1);
        fleet.awaitServersRegistered();
        for (int i = 0; i < TestFleet.GATEWAYS; i++) {
            int gateway = i;
            for (int request = 0; request < 4; request++) {
                fleet.awaitStatus(
                        () -> fleet.sendRequest(gateway, "/plain/x", fleet.nextId(), ""), 200);
            }
        }
    }

    private void runCaller(SplittableRandom random) {
        SentRequest.Kind[] kinds = SentRequest.Kind.values();
        while (!mFinished) {
            sendRequest(
                    1 + random.nextInt(TestFleet.GATEWAYS), kinds[random.nextInt(kinds.length)]);
            TestFleet.sleep(CALL_PAUSE_MILLIS);
        }
    }

    private Answer sendRequest(int gateway, SentRequest.Kind kind) {
        String id = mFleet.fleet().nextId();
        String body = "body of " + id;
        long startNanos = System.nanoTime();
        Answer answer = mFleet.fleet().sendRequest(gateway - 1, kind.path(), id, body);
        mChecker.checkAnswer(
                new SentRequest(id, kind, gateway, body, startNanos, System.nanoTime(), answer));
        return answer;
    }

    private void runOperator(SplittableRandom random) {
        TestFleet fleet = mFleet.fleet();
        int version = 1;
        boolean zoneEvacuated = false;
        while (!mFinished) {
            TestFleet.sleep(200 + random.nextInt(800));
            int choice = random.nextInt(4);
            if (choice == 0) {
                version += 1 + random.nextInt(3);
                publishTable(fleet, version);
            } else if (choice == 1) {
                readTable(fleet);
            } else if (choice == 2) {
                boolean evacuate = !zoneEvacuated;
                if (fleet.setZoneEvacuated("b", evacuate).status() == 200) {
                    zoneEvacuated = evacuate;
                }
            } else {
                requestNewRoute(fleet, 1 + random.nextInt(TestFleet.GATEWAYS));
            }
        }
    }

    private void publishTable(TestFleet fleet, int version) {
        String prefix = "/v" + version + "/";
        Answer answer = fleet.publishTable(version, prefix, mOptions.brokenVariant());
        // A table may be in force even if it was not acknowledged, so the same one is sent again.
        for (int i = 0; i < 10 && answer.status() != 200 && !mFinished; i++) {
            TestFleet.sleep(200);
            answer = fleet.publishTable(version, prefix, mOptions.brokenVariant());
        }
        if (answer.status() == 200) {
            mChecker.onAcknowledged(version);
        } else if (answer.status() == 422) {
            mChecker.addViolation(
                    "table " + version + " was rejected as invalid: " + answer.body());
        }
    }

    private void readTable(TestFleet fleet) {
        int acknowledged = mChecker.acknowledgedVersion();
        long acknowledgedNanos = mChecker.acknowledgedNanos();
        mChecker.checkRead(fleet.readTableVersion(), acknowledged, acknowledgedNanos);
    }

    private void requestNewRoute(TestFleet fleet, int gateway) {
        int version = mChecker.acknowledgedVersion();
        long startNanos = System.nanoTime();
        if (startNanos - mChecker.acknowledgedNanos() < GuaranteeChecker.MAX_PROPAGATION_NANOS) {
            return;
        }
        Answer answer =
                fleet.sendRequest(gateway - 1, "/v" + version + "/x", fleet.nextId(), "new");
        mChecker.checkNewRoute(version, gateway, answer.status(), startNanos);
    }

    private void injectFaults() {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(mOptions.seconds());
        while (System.nanoTime() < endNanos) {
            startFault();
            TestFleet.sleep(MIN_FAULT_PAUSE_MILLIS + mRandom.nextInt(FAULT_PAUSE_JITTER_MILLIS));
            long nowNanos = System.nanoTime();
            List<ActiveFault> due =
                    mActiveFaults.stream().filter(fault -> fault.endNanos() <= nowNanos).toList();
            due.forEach(this::endFault);
            mActiveFaults.removeAll(due);
        }
    }

    private void startFault() {
        FaultKind[] kinds = FaultKind.values();
        FaultKind kind = kinds[mRandom.nextInt(kinds.length)];
        int durationMillis = MIN_FAULT_MILLIS + mRandom.nextInt(FAULT_JITTER_MILLIS);
        int target =
                switch (kind.target()) {
                    case GATEWAY -> 1 + mRandom.nextInt(TestFleet.GATEWAYS);
                    case CONTROLLER -> 1 + mRandom.nextInt(TestFleet.CONTROLLERS);
                    case SERVER -> mRandom.nextInt(mFleet.fleet().servers().size());
                };
        String name =
                switch (kind.target()) {
                    case GATEWAY -> SoakFleet.gatewayName(target);
                    case CONTROLLER -> SoakFleet.controllerName(target);
                    case SERVER -> "server-" + target;
                };
        if (mustSkip(kind, name)) {
            return;
        }
        FaultHistory.Span span = mFleet.faultHistory().begin(name);
        Runnable endTask = kind.inject(mFleet, target, mRandom);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        mActiveFaults.add(new ActiveFault(kind, name, endNanos, endTask, span));
        mFaultCount++;
    }

    /**
     * Returns whether a fault must be skipped. A target has at most one fault at a time, and at
     * most one controller has a fault, because three controllers tolerate the loss of only one.
     */
    private boolean mustSkip(FaultKind kind, String name) {
        Set<String> names = new HashSet<>();
        boolean controllerHasFault = false;
        for (ActiveFault fault : mActiveFaults) {
            names.add(fault.target());
            controllerHasFault |= fault.kind().target() == FaultKind.Target.CONTROLLER;
        }
        return names.contains(name)
                || controllerHasFault && kind.target() == FaultKind.Target.CONTROLLER;
    }

    private void endFault(ActiveFault fault) {
        fault.endTask().run();
        fault.span().end();
    }

    private void killAndRestartAll() {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= TestFleet.CONTROLLERS; i++) {
            names.add(SoakFleet.controllerName(i));
        }
        for (int i = 1; i <= TestFleet.GATEWAYS; i++) {
            names.add(SoakFleet.gatewayName(i));
        }
        List<FaultHistory.Span> spans = names.stream().map(mFleet.faultHistory()::begin).toList();
        names.forEach(mFleet::kill);
        names.forEach(mFleet::restart);
        spans.forEach(FaultHistory.Span::end);
        mFaultCount++;
    }

    private void checkRecovery(TestFleet fleet) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
        for (int gateway = 1; gateway <= TestFleet.GATEWAYS; gateway++) {
            int successes = 0;
            while (successes < REQUIRED_SUCCESSES && System.nanoTime() < endNanos) {
                successes =
                        sendRequest(gateway, SentRequest.Kind.PLAIN).status() == 200
                                ? successes + 1
                                : 0;
                TestFleet.sleep(CALL_PAUSE_MILLIS);
            }
            if (successes < REQUIRED_SUCCESSES) {
                mChecker.addViolation(
                        "gateway " + gateway + " does not serve after the end of all faults");
            }
        }
        int version = -1;
        int acknowledged = mChecker.acknowledgedVersion();
        while (version < acknowledged && System.nanoTime() < endNanos) {
            version = fleet.readTableVersion();
        }
        if (version < acknowledged) {
            mChecker.addViolation(
                    "table " + acknowledged + " was acknowledged, read back " + version);
        }
    }
}
