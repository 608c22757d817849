package org.hemlockrack.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** A client that writes and reads the raw bytes of a connection. */
final class RawClient implements AutoCloseable {
    /** Makes a test fail that would otherwise hang; no test waits for this timeout. */
    private static final int READ_TIMEOUT_MILLIS = 60_000;

    private final Socket mSocket = new Socket();

    private RawClient() {}

    static RawClient connect(HttpPort port) throws IOException {
        return connect(port, 0);
    }

    static RawClient connect(HttpPort port, int receiveBufferBytes) throws IOException {
        RawClient client = new RawClient();
        if (receiveBufferBytes > 0) {
            client.mSocket.setReceiveBufferSize(receiveBufferBytes);
        }
        client.mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        client.mSocket.setTcpNoDelay(true);
        client.mSocket.connect(new InetSocketAddress("127.0.0.1", port.address().getPort()));
        return client;
    }

    RawClient write(String text) throws IOException {
        OutputStream out = mSocket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return this;
    }

    /**
     * Writes a text repeatedly until the server closes the connection.
     *
     * @param text the text
     * @param times maximum number of writes
     */
    void writeUntilClosed(String text, int times) throws InterruptedException {
        try {
            for (int i = 0; i < times; i++) {
                write(text);
                Thread.sleep(1);
            }
        } catch (IOException ignored) {
            // Expected: the server has closed the connection.
        }
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        mSocket.setSoLinger(true, 0);
        mSocket.close();
    }

    /** Ends the output; the client can still read. */
    void shutdownOutput() throws IOException {
        mSocket.shutdownOutput();
    }

    /** Reads until the connection is closed or reset. */
    String readAll() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] buffer = new byte[4 << 10];
        InputStream in = mSocket.getInputStream();
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                all.write(buffer, 0, count);
                count = in.read(buffer);
            }
        } catch (SocketException ignored) {
            // A reset counts as the end; the bytes received before it are returned.
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the end of the connection; returns the bytes, or null after a reset. */
    byte @Nullable [] readToEnd() throws IOException {
        try {
            return mSocket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            return null;
        }
    }

    /** Reads until the text read by this call ends with a mark, and returns that text. */
    String readUntil(String mark) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = mSocket.getInputStream();
        while (text.indexOf(mark) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
