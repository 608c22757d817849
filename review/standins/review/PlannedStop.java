package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway gets SIGTERM while some clients, each on a connection that it has used before, send a
 * request. They began half a second before, and its 70 KB take them 3.5 s. The answers are streams
 * of 1.5 s.
 */
public final class PlannedStop extends Case {
    private static final int CLIENTS = 4;
    private static final int BODY_PIECES = 35;
    private static final int PIECE_BYTES = 2_000;
    private static final int PIECE_MILLIS = 100;
    private static final int EVENTS = 15;
    private static final int EVENT_MILLIS = 100;

    /** Time from the first byte of the requests to the signal. */
    private static final int SIGNAL_DELAY_MILLIS = 500;

    private static final int DEADLINE_MILLIS = 12_000;

    private final Set<String> mRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mComplete = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mNotRead = new AtomicInteger();
    private final CountDownLatch mWarm = new CountDownLatch(CLIENTS);
    private final CountDownLatch mStart = new CountDownLatch(1);

    public static void main(String[] args) throws Exception {
        run(new PlannedStop(), args, 2);
    }

    @Override
    boolean play() throws Exception {
        for (int zone = 1; zone <= 3; zone++) {
            addWorker("i-" + zone, zone, "app", 16).mBehaviour = this::stream;
        }
        awaitServing();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i + 1;
            clients[i] = new Thread(() -> sendTwoRequests(number));
            clients[i].setDaemon(true);
            clients[i].start();
        }
        mWarm.await();
        mStart.countDown();
        Thread.sleep(SIGNAL_DELAY_MILLIS);
        if (mTrouble) {
            mFleet.signal("gateway-1", "TERM");
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(500);
        mRecord.say(
                "%d whole answers; %d requests were read and passed on to a worker, and their"
                        + " connections ended without a complete answer; %d were not passed on",
                mComplete.get(), mLost.get(), mNotRead.get());
        return mLost.get() > 0;
    }

    private boolean stream(Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String id = request.field("Hemlockrack-Attempt-Id");
        worker.noteRun(request);
        mRun.add(id);
        out.write(
                ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nHemlockrack-Attempt-Id: "
                                + id
                                + "\r\nHemlockrack-Upstream-Signature: s."
                                + id
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= EVENTS; i++) {
            Thread.sleep(EVENT_MILLIS);
            String event = "id: " + i + "\ndata: " + id + "-" + i + "\n\n";
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        mRecord.line("%s has sent the whole stream of %s", worker.mId, id);
        return true;
    }

    private void sendTwoRequests(int number) {
        String id = "none";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(Fleet.gatewayIp(1), mFleet.frontPort()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(DEADLINE_MILLIS);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 1; i <= 2; i++) {
                id = "a-" + number + "-" + i;
                int pieceMillis = i == 1 ? 1 : PIECE_MILLIS;
                sendSlowly(socket.getOutputStream(), id, pieceMillis);
                Http.Message answer = Http.readResponse(in);
                if (answer == null) {
                    throw new IOException("closed without an answer");
                }
                mRecord.line("client has the whole answer %d of %s", answer.status(), id);
                mComplete.incrementAndGet();
                if (i == 1) {
                    mWarm.countDown();
                    mStart.await();
                }
            }
        } catch (IOException e) {
            boolean lost = mRun.contains(id);
            mRecord.line("client: the connection of %s ended: %s", id, e);
            (lost ? mLost : mNotRead).incrementAndGet();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendSlowly(OutputStream out, String id, int pieceMillis)
            throws IOException, InterruptedException {
        StringBuilder head = new StringBuilder("POST /stream/" + id + " HTTP/1.1\r\n");
        for (Http.Field field : clientFields(id, DEADLINE_MILLIS)) {
            head.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        head.append("Content-Length: ").append(BODY_PIECES * PIECE_BYTES).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        mRecord.line("client begins to send %s", id);
        for (int i = 0; i < BODY_PIECES; i++) {
            Thread.sleep(pieceMillis);
            out.write(new byte[PIECE_BYTES]);
        }
        mRecord.line("client has sent the last byte of %s", id);
    }
}
