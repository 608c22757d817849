package org.hemlockrack.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.TestFleet;
import org.jspecify.annotations.Nullable;

/**
 * One soak run with planned stops: callers send requests on connections that they keep, some of
 * them slowly, while gateways get SIGTERM and servers become slow. Nothing else is disturbed.
 */
final class StopRun {
    private static final int CALLERS = 48;
    private static final int CALL_PAUSE_MILLIS = 20;
    private static final int MIN_CALM_MILLIS = 1_500;
    private static final int CALM_JITTER_MILLIS = 1_500;
    private static final int MAX_SLOWDOWN_DELAY_MILLIS = 4_000;
    private static final int MAX_OVERLAP_DELAY_MILLIS = 5_000;

    /** Grace period of the broken variant, in which gateways are killed while they end requests. */
    private static final long BROKEN_GRACE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final SoakOptions mOptions;
    private final Path mFolder;
    private final SplittableRandom mRandom;
    private final SoakFleet mFleet;
    private final StopChecker mChecker;
    private volatile boolean mSlowServers;
    private volatile boolean mFinished;
    private int mStopCount;

    private StopRun(SoakOptions options, Path folder) {
        mOptions = options;
        mFolder = folder;
        mRandom = new SplittableRandom(options.seed());
        mFleet = SoakFleet.start(folder);
        mChecker = new StopChecker(mFleet.fleet());
    }

    /**
     * Starts a fleet, stops gateways until the time is over and stops the fleet.
     *
     * @param options options of the run
     * @param folder empty folder for settings, logs and data
     * @return the result with all violations
     */
    static SoakResult run(SoakOptions options, Path folder) {
        StopRun run = new StopRun(options, folder);
        try (SoakFleet fleet = run.mFleet) {
            return run.execute(fleet.fleet());
        }
    }

    private SoakResult execute(TestFleet fleet) {
        fleet.awaitStatus(() -> fleet.publishTable(1, "/v1/", false), 200);
        fleet.awaitServersRegistered();
        awaitGateways(fleet);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = mRandom.split();
            boolean slow = i % 3 > 0;
            threads.add(SoakRun.startThread("caller-" + i, () -> runCaller(random, slow)));
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(mOptions.seconds());
        do {
            stopGateways(fleet);
        } while (System.nanoTime() < endNanos);
        mFinished = true;
        threads.forEach(SoakRun::join);
        writeRequests();
        return new SoakResult(
                mOptions.seed(), mStopCount, mChecker.statusCounts(), mChecker.violations());
    }

    private void writeRequests() {
        try {
            Files.write(mFolder.resolve("requests.log"), mChecker.describeRequests());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void awaitGateways(TestFleet fleet) {
        for (int i = 0; i < TestFleet.GATEWAYS; i++) {
            int gateway = i;
            fleet.awaitStatus(
                    () -> fleet.sendRequest(gateway, "/command/x", fleet.nextId(), ""), 200);
        }
    }

    private void runCaller(SplittableRandom random, boolean slowBody) {
        while (!mFinished) {
            int gateway = 1 + random.nextInt(TestFleet.GATEWAYS);
            sendRequests(random, slowBody, gateway);
            TestFleet.sleep(CALL_PAUSE_MILLIS);
        }
    }

    /** Sends requests on one connection for as long as the gateway keeps it. */
    private void sendRequests(SplittableRandom random, boolean slowBody, int gateway) {
        int port = mFleet.fleet().callerPort(gateway - 1);
        try (CallerConnection connection = CallerConnection.connect(port)) {
            while (connection != null && connection.isUsable() && !mFinished) {
                StopRequest.Plan plan = StopRequest.Plan.choose(random, slowBody, mSlowServers);
                String id = mFleet.fleet().nextId();
                mChecker.addRequest(connection.send(plan, id, gateway));
                TestFleet.sleep(random.nextInt(CALL_PAUSE_MILLIS));
            }
        }
    }

    /**
     * Stops a gateway, in some rounds a second time or together with the other one, while servers
     * become slow at some time and the operator may change the table.
     */
    private void stopGateways(TestFleet fleet) {
        mSlowServers = false;
        TestFleet.sleep(MIN_CALM_MILLIS + mRandom.nextInt(CALM_JITTER_MILLIS));
        int gateway = 1 + mRandom.nextInt(TestFleet.GATEWAYS);
        int slowdownDelayMillis = mRandom.nextInt(MAX_SLOWDOWN_DELAY_MILLIS);
        boolean signalAgain = mRandom.nextInt(4) == 0;
        boolean overlap = mRandom.nextInt(3) == 0;
        int overlapDelayMillis = mRandom.nextInt(MAX_OVERLAP_DELAY_MILLIS);
        StopChecker.Stop first = terminate(gateway);
        Thread slowdown =
                SoakRun.startThread(
                        "slowdown",
                        () -> {
                            TestFleet.sleep(slowdownDelayMillis);
                            mSlowServers = true;
                        });
        StopChecker.Stop second = null;
        if (overlap) {
            TestFleet.sleep(overlapDelayMillis);
            second = terminate(1 + gateway % TestFleet.GATEWAYS);
        }
        if (signalAgain) {
            mFleet.sendSignal(SoakFleet.gatewayName(gateway), "TERM");
        }
        if (mRandom.nextBoolean()) {
            fleet.publishTable(1 + mStopCount, "/v" + mStopCount + "/", false);
        }
        awaitStop(first);
        awaitStop(second);
        SoakRun.join(slowdown);
        awaitGateways(fleet);
    }

    private StopChecker.Stop terminate(int gateway) {
        StopChecker.Stop stop = new StopChecker.Stop(gateway, System.nanoTime());
        mChecker.addStop(stop);
        mFleet.fleet().process(SoakFleet.gatewayName(gateway)).destroy();
        mStopCount++;
        return stop;
    }

    /** Kills the gateway at the end of the grace period if it still runs, and starts it anew. */
    private void awaitStop(StopChecker.@Nullable Stop stop) {
        if (stop == null) {
            return;
        }
        long graceNanos = mOptions.brokenVariant() ? BROKEN_GRACE_NANOS : StopChecker.GRACE_NANOS;
        long leftNanos = stop.startNanos() + graceNanos - System.nanoTime();
        String name = SoakFleet.gatewayName(stop.gateway());
        if (!mFleet.awaitExit(name, leftNanos)) {
            mFleet.kill(name);
        }
        mFleet.restart(name);
    }
}
