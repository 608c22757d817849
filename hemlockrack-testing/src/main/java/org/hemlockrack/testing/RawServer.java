package org.hemlockrack.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend server that answers a request with a long body once its head has arrived, and does not
 * read the body. It sends responses that {@code HttpPort} never sends.
 */
public final class RawServer implements AutoCloseable {
    /** Small, so that a long body does not fit into the buffers of a connection. */
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

    private static final int MAX_READ_BODY_BYTES = 64 << 10;
    private static final int BACKLOG = 50;

    /** The body of the complete responses. */
    public static final String BODY = "0123456789".repeat(20_000);

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

    /** What the server sends instead of an ordinary response. */
    public enum Response {
        /** A part of a response without length; then the connection is reset. */
        PART_THEN_RESET("HTTP/1.1 200 OK\r\n", "part") {
            @Override
            void send(Socket socket, String fields) throws IOException {
                super.send(socket, fields);
                // A reset discards what the receiver has not read yet.
                LocalFleet.sleep(READ_MILLIS);
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        /** A response whose status is not valid. */
        INVALID_STATUS("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n", "ok"),
        /** A field whose name has a blank; a client that passes over it reads too much. */
        MALFORMED_NAME("HTTP/1.1 200 OK\r\nContent Length: 2\r\n", "ok") {
            @Override
            void send(Socket socket, String fields) throws IOException {
                super.send(socket, fields);
                socket.shutdownOutput();
            }
        },
        /** A field whose name has a control character. */
        CONTROL_IN_NAME("HTTP/1.1 200 OK\r\nX\1Y: z\r\nContent-Length: 2\r\n", "ok"),
        /** A line that is no field. */
        NO_FIELD("HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 2\r\n", "ok"),
        /** A length that is no number. */
        MALFORMED_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: +2\r\n", "ok"),
        /** A chunk with a wrong size. */
        MALFORMED_CHUNK(CHUNKED, "3\r\nok\r\n0\r\n\r\n"),
        /** A trailer that is no field. */
        MALFORMED_TRAILER(CHUNKED, "2\r\nok\r\n0\r\nno field\r\n\r\n"),
        /** A malformed head that says that the server is full. */
        MALFORMED_REFUSAL(
                "HTTP/1.1 503 Full\r\nX Y: z\r\nContent-Length: 0\r\nRetry-After: 1\r\n", ""),
        /** A complete response; the connection stays open. */
        COMPLETE("HTTP/1.1 200 OK\r\nContent-Length: " + BODY.length() + "\r\n", BODY);

        private static final long READ_MILLIS = 300;

        private final String mHead;
        private final String mBody;

        Response(String head, String body) {
            mHead = head;
            mBody = body;
        }

        void send(Socket socket, String fields) throws IOException {
            write(socket, mHead + fields + "\r\n" + mBody);
        }
    }

    private final ServerSocket mServer;
    private final String mRepeatedField;
    private final String mMoreFields;
    private final Set<Socket> mSockets = Collections.synchronizedSet(new HashSet<>());
    private final AtomicInteger mRequests = new AtomicInteger();
    private volatile Response mResponse = Response.COMPLETE;

    private RawServer(ServerSocket server, String repeatedField, String moreFields) {
        mServer = server;
        mMoreFields = moreFields;
        mRepeatedField = repeatedField.toLowerCase(Locale.ROOT) + ":";
    }

    /**
     * Opens a server on loopback.
     *
     * @param repeatedField name of a request field that responses repeat
     * @param moreFields lines of other fields in all responses, each with its line end
     * @return the server, which sends complete responses
     */
    public static RawServer open(String repeatedField, String moreFields) {
        try {
            ServerSocket socket = new ServerSocket();
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            RawServer server = new RawServer(socket, repeatedField, moreFields);
            startThread(server::accept);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets what is sent to requests from now on. */
    public void setResponse(Response response) {
        mResponse = response;
    }

    /** Returns {@code ip:port} where the server listens. */
    public String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    /** Returns how many requests were answered. */
    public int requests() {
        return mRequests.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                startThread(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    /** Serves requests up to the first with a long body, whose connection stays open. */
    private void serve(Socket socket) {
        try {
            while (answer(socket) <= MAX_READ_BODY_BYTES) {
                // The next request may arrive on the same connection.
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    /** Answers a request; returns the length of its body, which is read only if it is short. */
    private int answer(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        String fields = mMoreFields;
        int bodyBytes = 0;
        boolean expectsContinue = false;
        for (String line : readHead(in).split("\r\n")) {
            String name = line.toLowerCase(Locale.ROOT);
            if (name.startsWith(mRepeatedField)) {
                fields += line + "\r\n";
            } else if (name.startsWith("content-length:")) {
                bodyBytes = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
            expectsContinue |= name.startsWith("expect:");
        }
        if (expectsContinue) {
            write(socket, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (bodyBytes <= MAX_READ_BODY_BYTES) {
            in.skipNBytes(bodyBytes);
        }
        mRequests.incrementAndGet();
        mResponse.send(socket, fields);
        return bodyBytes;
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the request has no head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : Set.copyOf(mSockets)) {
            socket.close();
        }
    }
}
