package org.hemlockrack.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.platform.TestFleet;

/**
 * Checks the guarantees that callers, operators and backend servers can observe, and collects the
 * violations. Thread-safe.
 */
final class GuaranteeChecker {
    /** An acknowledged table must be in force, and no older one may be read, after this time. */
    static final long MAX_PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int CONNECTION_FAILURE_STATUS = 0;

    private final TestFleet mFleet;
    private final FaultHistory mFaultHistory;
    private final List<SentRequest> mSentRequests = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private volatile int mAcknowledgedVersion;
    private volatile long mAcknowledgedNanos;

    GuaranteeChecker(TestFleet fleet, FaultHistory faultHistory) {
        mFleet = fleet;
        mFaultHistory = faultHistory;
    }

    synchronized void addViolation(String description) {
        mViolations.add(description);
    }

    /** Records that a table was acknowledged to the operator. */
    synchronized void onAcknowledged(int version) {
        mAcknowledgedVersion = version;
        mAcknowledgedNanos = System.nanoTime();
    }

    int acknowledgedVersion() {
        return mAcknowledgedVersion;
    }

    /**
     * Checks the table version that a controller returned.
     *
     * @param version version that was read, negative if the read failed
     * @param acknowledgedBefore last version that was acknowledged before the read was sent
     * @param acknowledgedNanos time when that version was acknowledged
     */
    synchronized void checkRead(int version, int acknowledgedBefore, long acknowledgedNanos) {
        boolean mustBeInForce = System.nanoTime() - acknowledgedNanos > MAX_PROPAGATION_NANOS;
        if (version >= 0 && version < acknowledgedBefore && mustBeInForce) {
            addViolation(
                    "read table "
                            + version
                            + " although "
                            + acknowledgedBefore
                            + " was acknowledged");
        }
    }

    long acknowledgedNanos() {
        return mAcknowledgedNanos;
    }

    /**
     * Checks an answer. Execution counts are checked by {@link #checkExecutionCounts} at the end.
     */
    synchronized void checkAnswer(SentRequest sent) {
        mSentRequests.add(sent);
        int status = sent.answer().status();
        if (status == 200 && !sent.answer().body().equals(sent.kind().expectedBody(sent.body()))) {
            addViolation(describe(sent) + " got a wrong body: " + sent.answer().body());
        }
        if (status == 401 || status == 403 || status == 404) {
            addViolation(
                    describe(sent)
                            + " was denied although its route and key were always configured");
        }
        boolean faultFree =
                mFaultHistory.isFaultFree(
                        SoakFleet.gatewayName(sent.gateway()), sent.startNanos(), sent.endNanos());
        // A stream also gets no complete answer if the servers that could resume it break it off.
        boolean serversMayBreak =
                sent.kind() == SentRequest.Kind.STREAM && !areServersFaultFree(sent);
        if (status == CONNECTION_FAILURE_STATUS && faultFree && !serversMayBreak) {
            addViolation(describe(sent) + " got no answer from a gateway without a fault");
        }
    }

    private boolean areServersFaultFree(SentRequest sent) {
        for (int i = 0; i < mFleet.servers().size(); i++) {
            if (!mFaultHistory.isFaultFree("server-" + i, sent.startNanos(), sent.endNanos())) {
                return false;
            }
        }
        return true;
    }

    /**
     * Checks the answer to a request on a route that was added in a table version which was
     * acknowledged long enough ago to be in force.
     */
    void checkNewRoute(int version, int gateway, int status, long startNanos) {
        boolean faultFree =
                mFaultHistory.isFaultFree(
                        SoakFleet.gatewayName(gateway), startNanos, System.nanoTime());
        for (int i = 1; i <= TestFleet.CONTROLLERS; i++) {
            faultFree &=
                    mFaultHistory.isFaultFree(
                            SoakFleet.controllerName(i), startNanos, System.nanoTime());
        }
        if (faultFree && status == 404) {
            addViolation("gateway " + gateway + " has no route of table " + version);
        }
    }

    /** Checks how often each request was executed; call this after all requests have ended. */
    synchronized void checkExecutionCounts() {
        for (SentRequest sent : mSentRequests) {
            int executions = mFleet.executionCount(sent.id());
            int status = sent.answer().status();
            if (executions > sent.kind().maxExecutions()) {
                addViolation(describe(sent) + " ran " + executions + " times");
            }
            boolean reportedNotRun = status == 429 || status == 503 || status == 421;
            if (sent.kind() == SentRequest.Kind.COMMAND && reportedNotRun && executions > 0) {
                addViolation(describe(sent) + " was refused but ran");
            }
            if (status == 200 && executions == 0) {
                addViolation(describe(sent) + " succeeded without a run");
            }
        }
    }

    synchronized SortedMap<Integer, Integer> statusCounts() {
        SortedMap<Integer, Integer> counts = new TreeMap<>();
        mSentRequests.forEach(sent -> counts.merge(sent.answer().status(), 1, Integer::sum));
        return counts;
    }

    synchronized List<String> violations() {
        return List.copyOf(mViolations);
    }

    private static String describe(SentRequest sent) {
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
