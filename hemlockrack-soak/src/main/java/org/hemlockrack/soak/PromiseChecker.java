package org.hemlockrack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.TestFleet;

/** Collects what broke a promise, as callers, operators and backend servers see it. Thread-safe. */
final class PromiseChecker {
    /** An acknowledged change must be in force, and must not be read back older, after this. */
    static final long IN_FORCE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int CONNECTION_FAILURE = 0;

    private final TestFleet mFleet;
    private final Disturbances mDisturbances;
    private final List<Sent> mSent = new ArrayList<>();
    private final List<String> mBroken = new ArrayList<>();
    private volatile int mAcknowledged;
    private volatile long mAcknowledgedNanos;

    PromiseChecker(TestFleet fleet, Disturbances disturbances) {
        mFleet = fleet;
        mDisturbances = disturbances;
    }

    synchronized void broken(String what) {
        mBroken.add(what);
    }

    /** Notes that an operator's table was acknowledged. */
    synchronized void acknowledged(int version) {
        mAcknowledged = version;
        mAcknowledgedNanos = System.nanoTime();
    }

    int acknowledgedVersion() {
        return mAcknowledged;
    }

    /** Checks what a controller returned to a read that was sent at a time. */
    synchronized void read(int version, int acknowledgedBefore, long sinceNanos) {
        boolean inForce = System.nanoTime() - sinceNanos > IN_FORCE_NANOS;
        if (version >= 0 && version < acknowledgedBefore && inForce) {
            broken("read table " + version + " though " + acknowledgedBefore + " was acknowledged");
        }
    }

    long acknowledgedNanos() {
        return mAcknowledgedNanos;
    }

    /** Checks an answer; what depends on later runs is checked at the end. */
    synchronized void answered(Sent sent) {
        mSent.add(sent);
        int status = sent.answer().status();
        if (status == 200 && !sent.answer().body().equals(sent.kind().expected(sent.body()))) {
            broken(describe(sent) + " got another body: " + sent.answer().body());
        }
        if (status == 401 || status == 403 || status == 404) {
            broken(describe(sent) + " was denied though its route and key were always there");
        }
        boolean calm =
                mDisturbances.isCalm(
                        SoakFleet.gateway(sent.gateway()), sent.startNanos(), sent.endNanos());
        // A stream is cut when the servers that it may still be sent to break it off, too.
        boolean serversMayBreak = sent.kind() == Sent.Kind.STREAM && !serversCalm(sent);
        if (status == CONNECTION_FAILURE && calm && !serversMayBreak) {
            broken(describe(sent) + " got no answer from a gateway that was left alone");
        }
    }

    private boolean serversCalm(Sent sent) {
        for (int i = 0; i < mFleet.servers().size(); i++) {
            if (!mDisturbances.isCalm("server-" + i, sent.startNanos(), sent.endNanos())) {
                return false;
            }
        }
        return true;
    }

    /** Checks a request on a route that exists since an acknowledged version. */
    void onNewRoute(int version, int gateway, int status, long startNanos) {
        boolean calm =
                mDisturbances.isCalm(SoakFleet.gateway(gateway), startNanos, System.nanoTime());
        for (int i = 1; i <= TestFleet.CONTROLLERS; i++) {
            calm &= mDisturbances.isCalm(SoakFleet.controller(i), startNanos, System.nanoTime());
        }
        if (calm && status == 404) {
            broken("gateway " + gateway + " does not know the route of table " + version);
        }
    }

    /** Checks how often each request has run, after all work is over. */
    synchronized void checkRuns() {
        for (Sent sent : mSent) {
            int runs = mFleet.executionCount(sent.id());
            int status = sent.answer().status();
            if (runs > sent.kind().mostRuns()) {
                broken(describe(sent) + " ran " + runs + " times");
            }
            boolean promisedNotRun = status == 429 || status == 503 || status == 421;
            if (sent.kind() == Sent.Kind.COMMAND && promisedNotRun && runs > 0) {
                broken(describe(sent) + " was refused but ran");
            }
            if (status == 200 && runs == 0) {
                broken(describe(sent) + " succeeded without a run");
            }
        }
    }

    synchronized int count(int status) {
        return (int) mSent.stream().filter(sent -> sent.answer().status() == status).count();
    }

    synchronized int count() {
        return mSent.size();
    }

    synchronized List<String> results() {
        return List.copyOf(mBroken);
    }

    private static String describe(Sent sent) {
        return sent.kind()
                + " "
                + sent.id()
                + " at gateway "
                + sent.gateway()
                + " (status "
                + sent.answer().status()
                + ")";
    }
}
