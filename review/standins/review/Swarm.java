package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients of one gateway in a process of their own. Each keeps a connection open and sends a
 * request on it every few seconds. Runs until its standard input ends, then closes all connections.
 * Arguments: name, host, port, number of clients.
 */
public final class Swarm {
    private static final int THREADS = 32;
    private static final int DEADLINE_MILLIS = 4_000;

    /** Clients reuse connections that were idle for up to four fifths of 15 s. */
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(8);

    private final String mName;
    private final String mHost;
    private final int mPort;
    private final AtomicInteger mNextId = new AtomicInteger();
    private final AtomicInteger mOpened = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private volatile boolean mDone;

    private Swarm(String name, String host, int port) {
        mName = name;
        mHost = host;
        mPort = port;
    }

    public static void main(String[] args) throws Exception {
        Swarm swarm = new Swarm(args[0], args[1], Integer.parseInt(args[2]));
        int clients = Integer.parseInt(args[3]);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            int share = clients / THREADS + (i < clients % THREADS ? 1 : 0);
            Thread thread = new Thread(() -> swarm.runClients(share));
            thread.start();
            threads.add(thread);
        }
        while (System.in.read() >= 0) {
            // The parent writes nothing; the end of the input ends the swarm.
        }
        swarm.mDone = true;
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                "%s: %d connections opened, %d requests served, %d not%n",
                swarm.mName, swarm.mOpened.get(), swarm.mServed.get(), swarm.mFailed.get());
    }

    private void runClients(int clients) {
        Http.Kept[] connections = new Http.Kept[clients];
        try {
            for (int i = 0; i < clients && !mDone; i++) {
                connections[i] = open();
            }
            long pauseNanos = PERIOD_NANOS / Math.max(1, clients);
            for (int i = 0; !mDone; i = (i + 1) % clients) {
                TimeUnit.NANOSECONDS.sleep(pauseNanos);
                if (connections[i] == null) {
                    connections[i] = open();
                }
                if (connections[i] != null && !send(connections[i])) {
                    connections[i].close();
                    connections[i] = null;
                }
            }
            for (Http.Kept connection : connections) {
                if (connection != null) {
                    connection.close();
                }
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Http.Kept open() {
        try {
            Http.Kept connection = new Http.Kept(mHost, mPort, 1_000);
            mOpened.incrementAndGet();
            return connection;
        } catch (IOException e) {
            mFailed.incrementAndGet();
            return null;
        }
    }

    private boolean send(Http.Kept connection) {
        String id = mName + "-" + mNextId.incrementAndGet();
        try {
            Http.Message answer =
                    connection.call(
                            "GET",
                            "/look/" + id,
                            Case.clientFields(id, DEADLINE_MILLIS),
                            new byte[0],
                            DEADLINE_MILLIS);
            if (answer != null && answer.status() == 200) {
                mServed.incrementAndGet();
                return true;
            }
        } catch (IOException e) {
            // Counted below.
        }
        mFailed.incrementAndGet();
        return false;
    }
}
