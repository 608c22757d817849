package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 messages over plain sockets. */
final class Http {
    private static final int MAX_LINE_BYTES = 64 << 10;

    private Http() {}

    /** A header field. */
    record Field(String name, String value) {}

    /** A request or a response; the first line is that of the message. */
    record Message(String firstLine, List<Field> fields, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String field(String name) {
            return fieldOf(fields, name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private static String fieldOf(List<Field> fields, String name) {
        for (Field field : fields) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    /** Reads a response, or returns null if the connection ends before its first byte. */
    static Message readResponse(InputStream in) throws IOException {
        return read(in, null);
    }

    /**
     * Reads a request, or returns null if the connection ends before its first byte. A caller that
     * waits with the body for an interim response gets one.
     */
    static Message readRequest(InputStream in, OutputStream out) throws IOException {
        return read(in, out);
    }

    private static Message read(InputStream in, OutputStream interimOut) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        List<Field> fields = new ArrayList<>();
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            fields.add(new Field(line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        boolean isResponse = interimOut == null;
        if (!isResponse && "100-continue".equalsIgnoreCase(fieldOf(fields, "Expect"))) {
            interimOut.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            interimOut.flush();
        }
        String length = fieldOf(fields, "Content-Length");
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(fieldOf(fields, "Transfer-Encoding"))) {
            body = readChunks(in);
        } else if (length != null) {
            body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new EOFException("the body is incomplete");
            }
        } else if (isResponse) {
            body = in.readAllBytes();
        }
        return new Message(firstLine, fields, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String line = requireLine(in);
            int end = line.indexOf(';') < 0 ? line.length() : line.indexOf(';');
            int size = Integer.parseInt(line.substring(0, end).trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new EOFException("a chunk is incomplete");
            }
            body.writeBytes(chunk);
            requireLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the message is incomplete");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("a line is too long");
            }
        }
        if (line.size() > 0) {
            throw new EOFException("a line is incomplete");
        }
        return null;
    }

    /** Writes a message with a body of stated length. */
    static void write(OutputStream out, String firstLine, List<Field> fields, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(firstLine).append("\r\n");
        for (Field field : fields) {
            head.append(field.name()).append(": ").append(field.value()).append("\r\n");
        }
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.writeBytes(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** Sends a request on a new connection and returns the response. */
    static Message call(
            String host,
            int port,
            String method,
            String path,
            List<Field> fields,
            byte[] body,
            int connectMillis,
            int readMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), connectMillis);
            socket.setSoTimeout(readMillis);
            socket.setTcpNoDelay(true);
            List<Field> all = new ArrayList<>(fields);
            all.add(new Field("Connection", "close"));
            write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body);
            Message response = readResponse(new BufferedInputStream(socket.getInputStream()));
            if (response == null) {
                throw new EOFException("the connection was closed without an answer");
            }
            return response;
        }
    }

    /** A connection that is kept open for several requests, as clients do. */
    static final class Kept implements AutoCloseable {
        private final Socket mSocket = new Socket();
        private final InputStream mIn;
        private int mSent;

        Kept(String host, int port, int connectMillis) throws IOException {
            mSocket.connect(new InetSocketAddress(host, port), connectMillis);
            mSocket.setTcpNoDelay(true);
            mIn = new BufferedInputStream(mSocket.getInputStream());
        }

        /** Returns whether the connection has carried an earlier request. */
        boolean isReused() {
            return mSent > 1;
        }

        /** Sends a request and returns the response, or null if the connection was closed. */
        Message call(
                String method, String path, List<Field> fields, byte[] body, int readMillis)
                throws IOException {
            mSent++;
            mSocket.setSoTimeout(readMillis);
            write(mSocket.getOutputStream(), method + " " + path + " HTTP/1.1", fields, body);
            return readResponse(mIn);
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
        }
    }
}
