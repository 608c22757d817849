package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One tenant sends more requests than usual for some seconds, so that its service is overloaded. The
 * bodies of that service are as large as the configuration allows. Other clients send small requests
 * to another service, whose workers are sound and not loaded.
 */
public final class LargeBodies extends Case {
    private static final int BODY_BYTES = 4 << 20;
    private static final int UPLOAD_WORK_MILLIS = 500;

    /** Three workers with these slots serve 12 requests a second. */
    private static final int UPLOAD_SLOTS = 2;

    /** Requests of all tenants but one. */
    private static final double USUAL_PER_SECOND = 8;

    /** Requests of that tenant, and the factor by which it exceeds them for a time. */
    private static final double TENANT_PER_SECOND = 1;

    private static final double TENANT_FACTOR = 7.5;
    private static final int CALM_MILLIS = 5_000;
    private static final int TROUBLE_MILLIS = 6_500;
    private static final int AFTER_MILLIS = 20_000;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int GRACE_MILLIS = 500;

    /** More lost requests than these break the rule. */
    private static final int ALLOWED_LOST = 3;

    private static final int LOOK_CLIENTS_PER_GATEWAY = 16;
    private static final int LOOK_WORK_MILLIS = 300;

    private final byte[] mLargeBody = new byte[BODY_BYTES];
    private final AtomicLong mNextId = new AtomicLong();
    private final AtomicInteger mSent = new AtomicInteger();

    /** The slots of the workers of the loaded service. */
    private final List<Semaphore> mSlots =
            List.of(
                    new Semaphore(UPLOAD_SLOTS, true),
                    new Semaphore(UPLOAD_SLOTS, true),
                    new Semaphore(UPLOAD_SLOTS, true));

    private final AtomicInteger mUploads = new AtomicInteger();
    private final AtomicInteger mUploaded = new AtomicInteger();
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final AtomicInteger mMostInFlight = new AtomicInteger();
    private final AtomicInteger mLooks = new AtomicInteger();
    private final AtomicInteger mLooked = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mOther = new AtomicInteger();

    /** Small requests that have reached a worker. */
    private final Set<String> mPassedOn = ConcurrentHashMap.newKeySet();

    private volatile boolean mInTrouble;
    private volatile boolean mDone;

    public static void main(String[] args) throws Exception {
        run(new LargeBodies(), args, 2);
    }

    @Override
    boolean play() throws Exception {
        for (int zone = 1; zone <= 3; zone++) {
            addWorker("i-files-" + zone, zone, "files", UPLOAD_SLOTS).mBehaviour = this::upload;
            addWorker("i-app-" + zone, zone, "app", 16).mBehaviour = this::look;
        }
        awaitServing();
        for (int i = 0; i < 2 * LOOK_CLIENTS_PER_GATEWAY; i++) {
            int gateway = 1 + i % 2;
            startDaemon(() -> sendLooks(gateway));
        }
        startDaemon(() -> sendUploads(USUAL_PER_SECOND, 1, "key-1"));
        startDaemon(() -> sendUploads(TENANT_PER_SECOND, TENANT_FACTOR, "key-2"));
        Thread.sleep(CALM_MILLIS);
        mInTrouble = mTrouble;
        mRecord.line("trouble begins");
        Thread.sleep(TROUBLE_MILLIS);
        mInTrouble = false;
        mRecord.line("trouble ends");
        Thread.sleep(AFTER_MILLIS);
        mDone = true;
        for (int gateway = 1; gateway <= 2; gateway++) {
            mRecord.say(
                    "gateway-%d: %s, %s",
                    gateway,
                    mFleet.process("gateway-" + gateway).isAlive() ? "runs" : "has ended",
                    mFleet.isReady(gateway) ? "says that it is ready" : "is not ready");
        }
        mRecord.say(
                "%d uploads, %d served, at most %d in progress",
                mUploads.get(), mUploaded.get(), mMostInFlight.get());
        mRecord.say(
                "%d small requests, %d served; %d from kept connections had been passed on to a"
                        + " sound worker and got a closed connection and no answer; %d got nothing"
                        + " until %d ms after the route's time-out; %d others were not served",
                mLooks.get(),
                mLooked.get(),
                mLost.get(),
                mUnanswered.get(),
                GRACE_MILLIS,
                mOther.get());
        return mLost.get() > ALLOWED_LOST;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private boolean upload(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        Semaphore slots = mSlots.get(worker.mZone - 1);
        slots.acquire();
        try {
            Thread.sleep(UPLOAD_WORK_MILLIS);
        } finally {
            slots.release();
        }
        return Worker.answerWell(worker, request, socket, out);
    }

    private boolean look(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        mPassedOn.add(request.field("Hemlockrack-Attempt-Id"));
        Thread.sleep(LOOK_WORK_MILLIS);
        return Worker.answerWell(worker, request, socket, out);
    }

    private void sendUploads(double perSecond, double factor, String key) {
        try {
            while (!mDone) {
                double rate = mInTrouble ? perSecond * factor : perSecond;
                TimeUnit.NANOSECONDS.sleep((long) (1e9 / rate));
                int gateway = 1 + mSent.getAndIncrement() % 2;
                startDaemon(() -> sendUpload(gateway, key));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendUpload(int gateway, String key) {
        String id = "u-" + mNextId.incrementAndGet();
        mUploads.incrementAndGet();
        mRecord.line("client sends %s to gateway-%d", id, gateway);
        mMostInFlight.accumulateAndGet(mInFlight.incrementAndGet(), Math::max);
        try {
            Http.Message answer =
                    Http.call(
                            Fleet.gatewayIp(gateway),
                            mFleet.frontPort(),
                            "POST",
                            "/files/" + id,
                            clientFields(id, TIMEOUT_MILLIS, key),
                            mLargeBody,
                            1_000,
                            TIMEOUT_MILLIS + GRACE_MILLIS);
            mRecord.line("client gets %d for %s from gateway-%d", answer.status(), id, gateway);
            if (answer.status() == 200) {
                mUploaded.incrementAndGet();
            }
        } catch (IOException e) {
            mRecord.line("client gets no answer for %s from gateway-%d: %s", id, gateway, e);
        } finally {
            mInFlight.decrementAndGet();
        }
    }

    private void sendLooks(int gateway) {
        Http.Kept connection = null;
        while (!mDone) {
            String id = "a-" + mNextId.incrementAndGet();
            mRecord.line("client sends %s to gateway-%d", id, gateway);
            try {
                mLooks.incrementAndGet();
                if (connection == null) {
                    connection =
                            new Http.Kept(Fleet.gatewayIp(gateway), mFleet.frontPort(), 1_000);
                }
                Http.Message answer =
                        connection.call(
                                "GET",
                                "/look/" + id,
                                clientFields(id, TIMEOUT_MILLIS),
                                new byte[0],
                                TIMEOUT_MILLIS + GRACE_MILLIS);
                if (answer == null) {
                    throw new IOException("closed without an answer");
                }
                mRecord.line("client gets %d for %s from gateway-%d", answer.status(), id, gateway);
                (answer.status() == 200 ? mLooked : mOther).incrementAndGet();
                Thread.sleep(50);
            } catch (IOException e) {
                noteUnanswered(gateway, id, connection, e);
                connection = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void noteUnanswered(int gateway, String id, Http.Kept connection, IOException cause) {
        if (mDone) {
            return;
        }
        boolean late = cause instanceof SocketTimeoutException && connection != null;
        boolean lost =
                !late && connection != null && connection.isReused() && mPassedOn.contains(id);
        mRecord.line(
                "client gets no answer for %s from gateway-%d: %s%s",
                id, gateway, cause, lost ? "; it had been passed on to a sound worker" : "");
        (late ? mUnanswered : lost ? mLost : mOther).incrementAndGet();
        try {
            if (connection != null) {
                connection.close();
            }
            Thread.sleep(100);
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
