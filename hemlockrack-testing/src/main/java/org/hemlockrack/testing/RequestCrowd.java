package org.hemlockrack.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import javax.net.SocketFactory;

/** Clients that write to one port at the same time and then keep their connections open. */
public final class RequestCrowd implements AutoCloseable {
    /** A client whose port reads no more stops writing after this time. */
    private static final long MAX_WRITE_MILLIS = 40_000;

    private static final long POLL_MILLIS = 100;
    private static final int CLIENTS_PER_END = 10;

    /** State and receive queue of a connection in the tables of the kernel. */
    private static final String ESTABLISHED = "01";

    private static final String EMPTY_QUEUE = ":00000000";

    /** Writes what one client sends. */
    @FunctionalInterface
    public interface Script {
        /**
         * Writes to a connection.
         *
         * @param client number of the client, from 0
         * @param out output of the connection
         * @throws IOException if the connection was closed
         */
        void write(int client, OutputStream out) throws IOException;
    }

    private final List<Socket> mSockets = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> mThreads = new ArrayList<>();

    private final SocketFactory mSocketFactory;
    private final int mPort;

    private RequestCrowd(SocketFactory socketFactory, int port) {
        mSocketFactory = socketFactory;
        mPort = port;
    }

    /**
     * Starts the clients.
     *
     * @param address IP address of the port
     * @param port its number
     * @param clients number of clients
     * @param script what each client writes
     * @return the crowd
     */
    public static RequestCrowd start(String address, int port, int clients, Script script) {
        return start(SocketFactory.getDefault(), address, port, clients, script);
    }

    /**
     * Starts clients with other sockets, such as those with TLS. The other parameters are those of
     * {@link #start(String, int, int, Script)}.
     *
     * @param sockets opens the connections
     * @return the crowd
     */
    public static RequestCrowd start(
            SocketFactory sockets, String address, int port, int clients, Script script) {
        RequestCrowd crowd = new RequestCrowd(sockets, port);
        for (int i = 0; i < clients; i++) {
            int client = i;
            Thread thread = new Thread(() -> crowd.run(address, client, script), "crowd-" + i);
            thread.setDaemon(true);
            crowd.mThreads.add(thread);
            thread.start();
        }
        return crowd;
    }

    private void run(String address, int client, Script script) {
        try {
            Socket socket = mSocketFactory.createSocket(address, mPort);
            mSockets.add(socket);
            script.write(client, socket.getOutputStream());
        } catch (IOException ignored) {
            // A port may refuse such a client or close its connection.
        }
    }

    /**
     * Waits until the port has read what the clients wrote or has closed them, not forever.
     *
     * @throws IOException if the tables of the kernel cannot be read
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitRead() throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + MAX_WRITE_MILLIS * 1_000_000;
        for (Thread thread : mThreads) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            thread.join(Math.max(1, leftMillis));
        }
        while (hasUnreadInput() && System.nanoTime() < endNanos) {
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns whether the kernel holds bytes for the port that it has not read. */
    private boolean hasUnreadInput() throws IOException {
        String local = ":%04X".formatted(mPort);
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(Path.of("/proc/net/" + table))) {
                // The fields are number, local and remote address, state, both queues.
                String[] fields = line.trim().split("\\s+");
                if (fields[1].endsWith(local)
                        && fields[3].equals(ESTABLISHED)
                        && !fields[4].endsWith(EMPTY_QUEUE)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns a script that writes a text once and another text several times. One of ten clients
     * writes an end as well.
     *
     * @param head what is written once
     * @param text what is written several times
     * @param times how often
     * @param end what the tenth client writes at last
     * @return the script
     */
    public static Script repeat(String head, String text, int times, String end) {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] part = text.getBytes(StandardCharsets.ISO_8859_1);
        byte[] rest = end.getBytes(StandardCharsets.ISO_8859_1);
        return (client, out) -> {
            out.write(start);
            for (int i = 0; i < times; i++) {
                out.write(part);
            }
            if (client % CLIENTS_PER_END == 0) {
                out.write(rest);
            }
        };
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : List.copyOf(mSockets)) {
            socket.close();
        }
    }
}
