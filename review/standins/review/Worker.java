package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A worker that registers by heartbeats and answers requests on kept connections. */
final class Worker implements AutoCloseable {
    private static final int HEARTBEAT_MILLIS = 1_200;

    /** Answers one request on its connection. */
    interface Behaviour {
        /** Returns false if the connection is to be closed. */
        boolean answer(Worker worker, Http.Message request, Socket socket, OutputStream out)
                throws IOException, InterruptedException;
    }

    final String mId;
    final int mZone;
    final EventRecord mRecord;
    final AtomicLong mRuns = new AtomicLong();
    private final String mService;
    private final int mCapacity;
    private final Fleet mFleet;
    private final ServerSocket mServer;
    private final long mBornMillis = System.currentTimeMillis();
    private long mSequence;
    private int mController;
    private volatile boolean mClosed;
    private volatile boolean mRegistered;
    volatile Behaviour mBehaviour = Worker::answerWell;

    Worker(Fleet fleet, EventRecord record, String id, int zone, String service, int capacity)
            throws IOException {
        mFleet = fleet;
        mRecord = record;
        mId = id;
        mZone = zone;
        mService = service;
        mCapacity = capacity;
        mController = zone - 1;
        mServer = new ServerSocket(0, 256, InetAddress.getByName(Fleet.workerIp(zone)));
        start("accept-" + id, this::accept);
        start("beat-" + id, this::sendHeartbeats);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    boolean isRegistered() {
        return mRegistered;
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mServer.accept();
                start("serve-" + mId, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.readRequest(in, out);
                    request != null;
                    request = Http.readRequest(in, out)) {
                if (!answerChecked(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean answerChecked(Http.Message request, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        String target = request.field("Hemlockrack-Target-Instance");
        if (target != null && !target.equals(mId)) {
            mRecord.line("%s answers 421 to %s", mId, request.field("Hemlockrack-Attempt-Id"));
            Http.write(out, "HTTP/1.1 421 Misdirected Request", echo(request), new byte[0]);
            return true;
        }
        if (request.path().equals("/healthz")) {
            Http.write(
                    out,
                    "HTTP/1.1 200 OK",
                    List.of(new Http.Field("Hemlockrack-Served-By", mId)),
                    new byte[0]);
            return true;
        }
        return mBehaviour.answer(this, request, socket, out);
    }

    private static List<Http.Field> echo(Http.Message request) {
        return List.of(
                new Http.Field(
                        "Hemlockrack-Attempt-Id", request.field("Hemlockrack-Attempt-Id")));
    }

    /** Notes that a request runs. */
    void noteRun(Http.Message request) {
        mRuns.incrementAndGet();
        mRecord.line(
                "%s in %s runs %s %s",
                mId, Fleet.zone(mZone), request.field("Hemlockrack-Attempt-Id"), request.path());
    }

    /** Runs a request and answers with success. */
    static boolean answerWell(
            Worker worker, Http.Message request, Socket socket, OutputStream out)
            throws IOException {
        worker.noteRun(request);
        String id = request.field("Hemlockrack-Attempt-Id");
        Http.write(
                out,
                "HTTP/1.1 200 OK",
                List.of(
                        new Http.Field("Hemlockrack-Attempt-Id", id),
                        new Http.Field("Hemlockrack-Upstream-Signature", "s." + id)),
                ("done " + id).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private void sendHeartbeats() {
        while (!mClosed) {
            mSequence++;
            for (int i = 0; i < Fleet.CONTROLLERS; i++) {
                if (sendHeartbeat()) {
                    mRegistered = true;
                    break;
                }
                mController = (mController + 1) % Fleet.CONTROLLERS;
            }
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean sendHeartbeat() {
        String body =
                """
                {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","capacity":%d,
                 "state":"ready","cold_remaining_ms":0,"seq":%d,"born":%d}"""
                        .formatted(
                                mService,
                                Fleet.workerIp(mZone),
                                mServer.getLocalPort(),
                                Fleet.zone(mZone),
                                mCapacity,
                                mSequence,
                                mBornMillis);
        try {
            String host = Fleet.controllerIp(mController + 1);
            return Http.call(
                                    host,
                                    mFleet.adminPort(),
                                    "PUT",
                                    "/instances/" + mId,
                                    List.of(
                                            new Http.Field("Host", host),
                                            new Http.Field("Content-Type", "application/json")),
                                    body.getBytes(StandardCharsets.UTF_8),
                                    1_000,
                                    1_000)
                            .status()
                    == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
    }
}
