package org.hemlockrack.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.hemlockrack.platform.TestFleet;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a caller to a gateway, for requests whose bodies are sent in chunks over a time.
 */
final class CallerConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Longer than any answer. */
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int HEX = 16;

    private final Socket mSocket;
    private final InputStream mIn;
    private boolean mUsable = true;

    private CallerConnection(Socket socket, InputStream in) {
        mSocket = socket;
        mIn = in;
    }

    /** Connects to a port on loopback. Returns null if it does not accept. */
    static @Nullable CallerConnection connect(int port) {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            return new CallerConnection(socket, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            closeQuietly(socket);
            return null;
        }
    }

    /** Returns whether another request can be sent. */
    boolean isUsable() {
        return mUsable;
    }

    /** Sends a request and reads its answer. */
    StopRequest send(StopRequest.Plan plan, String id, int gateway) {
        long lastChunkNanos = StopRequest.NOT_SENT;
        long sentNanos = StopRequest.NOT_SENT;
        StringBuilder body = new StringBuilder();
        int status = 0;
        String failure = null;
        try {
            try {
                write(plan.head(id));
                for (int chunk = 0; chunk < plan.chunks(); chunk++) {
                    TestFleet.sleep(plan.chunkPauseMillis());
                    lastChunkNanos = System.nanoTime();
                    write(chunk + 1 < plan.chunks() ? "4\r\nbody\r\n" : LAST_CHUNK);
                }
                sentNanos = System.nanoTime();
            } catch (IOException e) {
                // The answer may have come before the end of the body.
                mUsable = false;
            }
            status = Integer.parseInt(readLine().split(" ")[1]);
            readBody(body);
        } catch (IOException e) {
            mUsable = false;
            failure = e.toString();
        }
        return new StopRequest(
                id,
                plan,
                gateway,
                lastChunkNanos,
                sentNanos,
                System.nanoTime(),
                status,
                body.toString(),
                failure);
    }

    private void write(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void readBody(StringBuilder body) throws IOException {
        Map<String, String> fields = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        mUsable &= !"close".equalsIgnoreCase(fields.get("connection"));
        String length = fields.get("content-length");
        if (length != null) {
            read(Integer.parseInt(length), body);
            return;
        }
        if (!"chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
            throw new IOException("an answer without a length: " + fields);
        }
        for (int size = readSize(); size > 0; size = readSize()) {
            read(size, body);
            readLine();
        }
        readLine();
    }

    private int readSize() throws IOException {
        return Integer.parseInt(readLine().strip(), HEX);
    }

    private void read(int bytes, StringBuilder body) throws IOException {
        for (int i = 0; i < bytes; i++) {
            body.append((char) readByte());
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(); next != '\n'; next = readByte()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int readByte() throws IOException {
        int next = mIn.read();
        if (next < 0) {
            throw new EOFException("the connection was closed");
        }
        return next;
    }

    @Override
    public void close() {
        closeQuietly(mSocket);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Nothing is sent any more.
        }
    }
}
