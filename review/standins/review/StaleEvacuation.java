package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A controller is frozen while an operator takes a zone back. The operator gets no answer from it
 * within a second and repeats the order at another controller. Then the operator evacuates the zone
 * again, before the frozen controller wakes.
 */
public final class StaleEvacuation extends Case {
    private static final int FROZEN = 3;
    private static final int ZONE = 2;
    private static final long FREEZE_MILLIS = 3_500;

    /** Time between the acknowledged DELETE and the next POST. */
    private static final long DECISION_MILLIS = 1_000;

    /** Bound of the site balon-hq. */
    private static final double EVACUATION_S = 5;

    private static final double CONTACT_S = 3;

    private final AtomicLong mNextId = new AtomicLong();
    private final AtomicInteger mFailed = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        run(new StaleEvacuation(), args, 2);
    }

    @Override
    boolean play() throws Exception {
        for (int zone = 1; zone <= 3; zone++) {
            addWorker("i-" + zone, zone, "app", 16);
        }
        awaitServing();
        for (int gateway = 1; gateway <= 2; gateway++) {
            int number = gateway;
            Thread client = new Thread(() -> sendRequests(number));
            client.setDaemon(true);
            client.start();
        }
        String order = "/evacuation/" + Fleet.zone(ZONE);
        requireAcknowledged("POST", order, 1);
        Thread.sleep(8_000);
        if (mTrouble) {
            mFleet.signal("controller-" + FROZEN, "STOP");
        }
        double frozenAt = mRecord.seconds();
        requireAcknowledged("DELETE", order, FROZEN);
        Thread.sleep(DECISION_MILLIS);
        requireAcknowledged("POST", order, 1);
        double acknowledgedAt = mRecord.seconds();
        double wokenAt = frozenAt + FREEZE_MILLIS / 1e3;
        sleepUntil(wokenAt);
        if (mTrouble) {
            mFleet.signal("controller-" + FROZEN, "CONT");
        }
        // All machines are in touch again after this time, and the bound has passed.
        sleepUntil(Math.max(acknowledgedAt + EVACUATION_S, wokenAt + CONTACT_S) + 1);
        long before = mWorkers.get(ZONE - 1).mRuns.get();
        Thread.sleep(8_000);
        long late = mWorkers.get(ZONE - 1).mRuns.get() - before;
        mRecord.say(
                "%d requests ran in the evacuated zone in 8 s, from %.1f s after the"
                        + " acknowledgement on; %d requests failed",
                late, mRecord.seconds() - 8 - acknowledgedAt, mFailed.get());
        return late > 0;
    }

    private void requireAcknowledged(String method, String order, int first)
            throws InterruptedException {
        if (mOperator.send(method, order, "", first, 10) == null) {
            throw new NotRun(method + " " + order + " was not acknowledged");
        }
    }

    private void sleepUntil(double second) throws InterruptedException {
        Thread.sleep(Math.max(0, (long) (1e3 * (second - mRecord.seconds()))));
    }

    private void sendRequests(int gateway) {
        while (true) {
            String id = "a-" + mNextId.incrementAndGet();
            mRecord.line("client sends %s to gateway-%d", id, gateway);
            try {
                Http.Message answer =
                        Http.call(
                                Fleet.gatewayIp(gateway),
                                mFleet.frontPort(),
                                "GET",
                                "/look/" + id,
                                clientFields(id, 4_000),
                                new byte[0],
                                1_000,
                                4_000);
                mRecord.line("client gets %d for %s", answer.status(), id);
                if (answer.status() != 200) {
                    mFailed.incrementAndGet();
                }
                Thread.sleep(50);
            } catch (IOException e) {
                mFailed.incrementAndGet();
                mRecord.line("client gets no answer for %s: %s", id, e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
