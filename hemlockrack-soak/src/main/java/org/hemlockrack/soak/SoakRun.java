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

/** One run: a seed decides which faults come when; callers and an operator go on all the time. */
final class SoakRun {
    private static final int CALLERS = 4;
    private static final long CALL_PAUSE_MILLIS = 10;
    private static final int MIN_FAULT_PAUSE_MILLIS = 100;
    private static final int FAULT_PAUSE_SPREAD_MILLIS = 900;
    private static final int MIN_FAULT_MILLIS = 200;
    private static final int FAULT_SPREAD_MILLIS = 3_800;

    /** Time after all faults in which everything must be served again. */
    private static final long RECOVERY_SECONDS = 15;

    private static final int SERVED_IN_A_ROW = 20;

    private final SoakOptions mOptions;
    private final SplittableRandom mRandom;
    private final SoakFleet mFleet;
    private final PromiseChecker mChecker;
    private final List<Running> mFaults = new ArrayList<>();
    private volatile boolean mOver;
    private int mStarted;

    private record Running(
            FaultKind kind, String target, long endNanos, Runnable end, Disturbances.Span span) {}

    private SoakRun(SoakOptions options, Path folder) {
        mOptions = options;
        mRandom = new SplittableRandom(options.seed());
        mFleet = SoakFleet.start(folder);
        mChecker = new PromiseChecker(mFleet.fleet(), mFleet.disturbances());
    }

    /**
     * Runs to the end.
     *
     * @param options seed, length, variant
     * @param folder empty folder for settings, logs and data
     * @return what was seen
     */
    static SoakResult run(SoakOptions options, Path folder) {
        SoakRun run = new SoakRun(options, folder);
        try (SoakFleet fleet = run.mFleet) {
            return run.play(fleet.fleet());
        }
    }

    private SoakResult play(TestFleet fleet) {
        awaitReady(fleet);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = mRandom.split();
            threads.add(start("caller-" + i, () -> callUntilOver(random)));
        }
        SplittableRandom operatorRandom = mRandom.split();
        threads.add(start("operator", () -> operateUntilOver(operatorRandom)));
        disturb();
        mFaults.forEach(this::end);
        mFaults.clear();
        if (mRandom.nextInt(3) == 0) {
            killAll();
        }
        checkRecovery(fleet);
        mOver = true;
        threads.forEach(SoakRun::join);
        mChecker.checkRuns();
        return new SoakResult(
                mOptions.seed(),
                mStarted,
                mChecker.count(),
                mChecker.count(200),
                mChecker.results());
    }

    private static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitReady(TestFleet fleet) {
        fleet.awaitStatus(() -> fleet.publishTable(1, "/v1/", mOptions.commandsRepeat()), 200);
        mChecker.acknowledged(1);
        fleet.awaitServersRegistered();
        for (int i = 0; i < TestFleet.GATEWAYS; i++) {
            int gateway = i;
            for (int each = 0; each < 4; each++) {
                fleet.awaitStatus(
                        () -> fleet.sendRequest(gateway, "/plain/x", fleet.nextId(), ""), 200);
            }
        }
    }

    private void callUntilOver(SplittableRandom random) {
        Sent.Kind[] kinds = Sent.Kind.values();
        while (!mOver) {
            call(1 + random.nextInt(TestFleet.GATEWAYS), kinds[random.nextInt(kinds.length)]);
            TestFleet.sleep(CALL_PAUSE_MILLIS);
        }
    }

    private Answer call(int gateway, Sent.Kind kind) {
        String id = mFleet.fleet().nextId();
        String body = "body of " + id;
        long startNanos = System.nanoTime();
        Answer answer = mFleet.fleet().sendRequest(gateway - 1, kind.path(), id, body);
        mChecker.answered(new Sent(id, kind, gateway, body, startNanos, System.nanoTime(), answer));
        return answer;
    }

    private void operateUntilOver(SplittableRandom random) {
        TestFleet fleet = mFleet.fleet();
        int version = 1;
        boolean zoneOut = false;
        while (!mOver) {
            TestFleet.sleep(200 + random.nextInt(800));
            int choice = random.nextInt(4);
            if (choice == 0) {
                version += 1 + random.nextInt(3);
                publish(fleet, version);
            } else if (choice == 1) {
                read(fleet);
            } else if (choice == 2) {
                boolean out = !zoneOut;
                if (fleet.setZoneEvacuated("b", out).status() == 200) {
                    zoneOut = out;
                }
            } else {
                useNewRoute(fleet, 1 + random.nextInt(TestFleet.GATEWAYS));
            }
        }
    }

    private void publish(TestFleet fleet, int version) {
        String prefix = "/v" + version + "/";
        Answer answer = fleet.publishTable(version, prefix, mOptions.commandsRepeat());
        // A table without an acknowledgement may be in force or not; the same one is sent again.
        for (int i = 0; i < 10 && answer.status() != 200 && !mOver; i++) {
            TestFleet.sleep(200);
            answer = fleet.publishTable(version, prefix, mOptions.commandsRepeat());
        }
        if (answer.status() == 200) {
            mChecker.acknowledged(version);
        } else if (answer.status() == 422) {
            mChecker.broken("table " + version + " was refused as invalid: " + answer.body());
        }
    }

    private void read(TestFleet fleet) {
        int acknowledged = mChecker.acknowledgedVersion();
        long sinceNanos = mChecker.acknowledgedNanos();
        mChecker.read(fleet.readTableVersion(), acknowledged, sinceNanos);
    }

    private void useNewRoute(TestFleet fleet, int gateway) {
        int version = mChecker.acknowledgedVersion();
        long startNanos = System.nanoTime();
        if (startNanos - mChecker.acknowledgedNanos() < PromiseChecker.IN_FORCE_NANOS) {
            return;
        }
        Answer answer =
                fleet.sendRequest(gateway - 1, "/v" + version + "/x", fleet.nextId(), "new");
        mChecker.onNewRoute(version, gateway, answer.status(), startNanos);
    }

    private void disturb() {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(mOptions.seconds());
        while (System.nanoTime() < endNanos) {
            startFault();
            TestFleet.sleep(MIN_FAULT_PAUSE_MILLIS + mRandom.nextInt(FAULT_PAUSE_SPREAD_MILLIS));
            long nowNanos = System.nanoTime();
            List<Running> due =
                    mFaults.stream().filter(fault -> fault.endNanos() <= nowNanos).toList();
            due.forEach(this::end);
            mFaults.removeAll(due);
        }
    }

    private void startFault() {
        FaultKind[] kinds = FaultKind.values();
        FaultKind kind = kinds[mRandom.nextInt(kinds.length)];
        int lasts = MIN_FAULT_MILLIS + mRandom.nextInt(FAULT_SPREAD_MILLIS);
        int target =
                switch (kind.target()) {
                    case GATEWAY -> 1 + mRandom.nextInt(TestFleet.GATEWAYS);
                    case CONTROLLER -> 1 + mRandom.nextInt(TestFleet.CONTROLLERS);
                    case SERVER -> mRandom.nextInt(mFleet.fleet().servers().size());
                };
        String name =
                switch (kind.target()) {
                    case GATEWAY -> SoakFleet.gateway(target);
                    case CONTROLLER -> SoakFleet.controller(target);
                    case SERVER -> "server-" + target;
                };
        if (isBusy(kind, name)) {
            return;
        }
        Disturbances.Span span = mFleet.disturbances().begin(name);
        Runnable end = kind.start(mFleet, target, mRandom);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lasts);
        mFaults.add(new Running(kind, name, endNanos, end, span));
        mStarted++;
    }

    /** One controller at a time is lost, as three of them bear; others wait their turn. */
    private boolean isBusy(FaultKind kind, String name) {
        Set<String> names = new HashSet<>();
        boolean controllerLost = false;
        for (Running fault : mFaults) {
            names.add(fault.target());
            controllerLost |= fault.kind().target() == FaultKind.Target.CONTROLLER;
        }
        return names.contains(name)
                || controllerLost && kind.target() == FaultKind.Target.CONTROLLER;
    }

    private void end(Running fault) {
        fault.end().run();
        fault.span().end();
    }

    private void killAll() {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= TestFleet.CONTROLLERS; i++) {
            names.add(SoakFleet.controller(i));
        }
        for (int i = 1; i <= TestFleet.GATEWAYS; i++) {
            names.add(SoakFleet.gateway(i));
        }
        List<Disturbances.Span> spans = names.stream().map(mFleet.disturbances()::begin).toList();
        names.forEach(mFleet::kill);
        names.forEach(mFleet::restart);
        spans.forEach(Disturbances.Span::end);
        mStarted++;
    }

    private void checkRecovery(TestFleet fleet) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
        for (int gateway = 1; gateway <= TestFleet.GATEWAYS; gateway++) {
            int inARow = 0;
            while (inARow < SERVED_IN_A_ROW && System.nanoTime() < endNanos) {
                inARow = call(gateway, Sent.Kind.PLAIN).status() == 200 ? inARow + 1 : 0;
                TestFleet.sleep(CALL_PAUSE_MILLIS);
            }
            if (inARow < SERVED_IN_A_ROW) {
                mChecker.broken("gateway " + gateway + " does not serve after the last fault");
            }
        }
        int version = -1;
        int acknowledged = mChecker.acknowledgedVersion();
        while (version < acknowledged && System.nanoTime() < endNanos) {
            version = fleet.readTableVersion();
        }
        if (version < acknowledged) {
            mChecker.broken("table " + acknowledged + " was acknowledged, read back " + version);
        }
    }
}
