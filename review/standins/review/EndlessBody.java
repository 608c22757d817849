package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of three workers answers a part of its requests with a failure whose body never ends. All
 * other answers are sound. Clients send two kinds of requests on kept connections through two
 * gateways, and try the other gateway once after a failure, as far as the pages allow it.
 */
public final class EndlessBody extends Case {
    private static final int CLIENTS_PER_GATEWAY_AND_KIND = 4;
    private static final int CALM_MILLIS = 3_000;
    private static final int TROUBLE_MILLIS = 6_500;
    private static final int AFTER_MILLIS = 30_000;
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int WORK_MILLIS = 60;
    private static final int PAUSE_MILLIS = 40;

    /** Part of the faulty worker's answers that are spoiled. */
    private static final double SPOILED_PART = 0.45;

    /** The link of the faulty worker carries 800 Mbit/s. */
    private static final double LINK_BYTES_PER_SECOND = 100e6;

    /** The rule is broken if more than this part of the requests fails. */
    private static final double ALLOWED_FAILED_PART = 0.6;

    /** It is also broken if a kind is served less than this part as often as all requests. */
    private static final double STARVED_PART = 0.25;

    private final AtomicLong mNextId = new AtomicLong();
    private final AtomicInteger mAtFaultyWorker = new AtomicInteger();
    private volatile boolean mInTrouble;
    private volatile boolean mDone;

    /** A kind of request with its counts. */
    private enum Kind {
        LOOK("/look/", true),
        BOOK("/book/", false);

        private final String mPath;
        private final boolean mRepeatable;
        private final AtomicInteger mAsked = new AtomicInteger();
        private final AtomicInteger mServed = new AtomicInteger();
        private final AtomicInteger mClosed = new AtomicInteger();

        Kind(String path, boolean repeatable) {
            mPath = path;
            mRepeatable = repeatable;
        }

        double servedPart() {
            return (double) mServed.get() / Math.max(1, mAsked.get());
        }
    }

    public static void main(String[] args) throws Exception {
        run(new EndlessBody(), args, 2);
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= 3; number++) {
            // All in one zone, so that both gateways use all three alike.
            addWorker("i-" + number, 3, "app", 16).mBehaviour = this::answer;
        }
        awaitServing();
        for (Kind kind : Kind.values()) {
            for (int i = 0; i < 2 * CLIENTS_PER_GATEWAY_AND_KIND; i++) {
                int gateway = 1 + i % 2;
                Thread client = new Thread(() -> sendRequests(kind, gateway));
                client.setDaemon(true);
                client.start();
            }
        }
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
        int asked = 0;
        int served = 0;
        for (Kind kind : Kind.values()) {
            mRecord.say(
                    "%s: %d requests, %d served, %d attempts ended with a closed connection and no"
                            + " answer",
                    kind, kind.mAsked.get(), kind.mServed.get(), kind.mClosed.get());
            asked += kind.mAsked.get();
            served += kind.mServed.get();
        }
        double servedPart = (double) served / asked;
        mRecord.say("%.3f of all requests failed", 1 - servedPart);
        boolean starved = false;
        for (Kind kind : Kind.values()) {
            starved |= kind.servedPart() < STARVED_PART * servedPart;
        }
        return 1 - servedPart > ALLOWED_FAILED_PART || starved;
    }

    private boolean answer(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        boolean faulty = worker.mId.equals("i-1") && mInTrouble;
        if (faulty && isSpoiled(mAtFaultyWorker.incrementAndGet())) {
            sendEndlessFailure(worker, request, out);
            return false;
        }
        Thread.sleep(WORK_MILLIS);
        return Worker.answerWell(worker, request, socket, out);
    }

    /** Spoils answers at equal distances. */
    private static boolean isSpoiled(int number) {
        return (int) (number * SPOILED_PART) > (int) ((number - 1) * SPOILED_PART);
    }

    private void sendEndlessFailure(Worker worker, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field("Hemlockrack-Attempt-Id");
        worker.noteRun(request);
        mRecord.line("%s answers %s with 500 and a body without end", worker.mId, id);
        out.write(
                ("HTTP/1.1 500 Internal Server Error\r\nHemlockrack-Attempt-Id: "
                                + id
                                + "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        byte[] block = "error ".repeat(1 << 14).getBytes(StandardCharsets.ISO_8859_1);
        long bytes = 0;
        long startNanos = System.nanoTime();
        try {
            while (true) {
                out.write(block);
                bytes += block.length;
                double aheadSeconds =
                        bytes / LINK_BYTES_PER_SECOND - (System.nanoTime() - startNanos) / 1e9;
                if (aheadSeconds > 0) {
                    Thread.sleep((long) (1e3 * aheadSeconds));
                }
            }
        } catch (IOException e) {
            mRecord.line("%s: the caller closed %s after %d bytes", worker.mId, id, bytes);
        }
    }

    private void sendRequests(Kind kind, int homeGateway) {
        Http.Kept connection = null;
        try {
            while (!mDone) {
                kind.mAsked.incrementAndGet();
                if (connection == null) {
                    connection = open(homeGateway);
                }
                boolean served = sendOnce(kind, homeGateway, connection);
                if (!served) {
                    connection = close(connection);
                    int other = 3 - homeGateway;
                    Http.Kept retry = kind.mRepeatable ? open(other) : null;
                    served = retry != null && sendOnce(kind, other, retry);
                    close(retry);
                }
                if (served) {
                    kind.mServed.incrementAndGet();
                }
                Thread.sleep(served ? PAUSE_MILLIS : 2 * PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Http.Kept open(int gateway) {
        try {
            return new Http.Kept(Fleet.gatewayIp(gateway), mFleet.frontPort(), 1_000);
        } catch (IOException e) {
            mRecord.line("no connection to gateway-%d: %s", gateway, e);
            return null;
        }
    }

    private boolean sendOnce(Kind kind, int gateway, Http.Kept connection) {
        if (connection == null) {
            return false;
        }
        String id = "a-" + mNextId.incrementAndGet();
        mRecord.line("client sends %s to gateway-%d", id, gateway);
        try {
            Http.Message answer =
                    connection.call(
                            "POST",
                            kind.mPath + id,
                            clientFields(id, TIMEOUT_MILLIS),
                            new byte[0],
                            TIMEOUT_MILLIS);
            if (answer != null) {
                mRecord.line("client gets %d for %s from gateway-%d", answer.status(), id, gateway);
                return answer.status() == 200;
            }
            mRecord.line("gateway-%d closes the connection of %s without an answer", gateway, id);
            kind.mClosed.incrementAndGet();
        } catch (IOException e) {
            mRecord.line("client gets no answer for %s from gateway-%d: %s", id, gateway, e);
        }
        return false;
    }

    private static Http.Kept close(Http.Kept connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // The connection is not used any more.
        }
        return null;
    }
}
