package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Compares the responses that the client takes as complete with those that the grammar of HTTP/1.1
 * allows. Guards against malformed responses that reach callers, and against sound ones that are
 * lost.
 */
class ResponseSyntaxProperties {
    private static final int WAIT_SECONDS = 20;
    private static final String TOKEN_CHARS = "!#$%&'*+-.^_`|~09AZaz";
    private static final String SIZE = "<size>";
    private static final String END_OF_HEAD = "<end>";

    /** Bytes that delimit a part of a response, or that must not stand in one. */
    private static final String SPECIAL_BYTES =
            "\0\1\t\n"
                    + "\u000b\f\r"
                    + "\u001b !\"#'()*+,-./01289:;<=>?@AF[\\]_afz{|}~\u007f\u0080\u00a0\u00ff";

    private static ServerSocket sServer;
    private static HttpClient sClient;

    @BeforeContainer
    static void open() throws IOException {
        sServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        sClient = HttpClient.open(1, 10_000, 60_000, false);
    }

    @AfterContainer
    static void close() throws IOException {
        sClient.close();
        sServer.close();
    }

    /** Completes with the body of a complete response, or with nothing. */
    private static final class Collector implements UpstreamListener {
        private final StringBuffer mBody = new StringBuffer();
        private final CompletableFuture<Optional<String>> mResult = new CompletableFuture<>();

        @Override
        public boolean beforeSend() {
            return true;
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {}

        @Override
        public void onBody(ByteBuffer data) {
            mBody.append(StandardCharsets.ISO_8859_1.decode(data));
        }

        @Override
        public void onEnd() {
            mResult.complete(Optional.of(mBody.toString()));
        }

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            mResult.complete(Optional.empty());
        }
    }

    /** Returns what the client makes of a response that arrives in two parts. */
    private static Optional<String> receive(String response, int split) throws Exception {
        Collector collector = new Collector();
        String target = "127.0.0.1:" + sServer.getLocalPort();
        sClient.send(target, "GET", "/", List.of(), new byte[0], collector);
        try (Socket socket = sServer.accept()) {
            socket.setTcpNoDelay(true);
            readHead(socket.getInputStream());
            byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
            int firstBytes = split % (bytes.length + 1);
            OutputStream out = socket.getOutputStream();
            try {
                out.write(bytes, 0, firstBytes);
                TimeUnit.MILLISECONDS.sleep(2);
                out.write(bytes, firstBytes, bytes.length - firstBytes);
                socket.shutdownOutput();
            } catch (IOException e) {
                // The client may close the connection at the first malformed line.
            }
            return collector.mResult.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the request has no head");
            }
            head.append((char) next);
        }
    }

    /**
     * A sound response.
     *
     * @param bytes the bytes, one for each character
     * @param body the body that they hold
     */
    private record SoundResponse(String bytes, String body) {
        @Override
        public String toString() {
            return escape(bytes);
        }
    }

    private static String escape(String bytes) {
        StringBuilder text = new StringBuilder();
        for (char value : bytes.toCharArray()) {
            boolean isPrintable = value >= ' ' && value <= '~';
            text.append(isPrintable ? value : String.format("\\x%02x", (int) value));
        }
        return text.toString();
    }

    private static Arbitrary<String> fields(String lineEnd) {
        Arbitrary<String> names =
                Arbitraries.strings().withChars(TOKEN_CHARS).ofMinLength(1).ofMaxLength(8);
        Arbitrary<String> values =
                Arbitraries.of("", " ", "\t", " v", " v \t", " a b", "\u0080\u00ff", " :;,=\"");
        Arbitrary<String> field =
                Combinators.combine(names, values)
                        .as((name, value) -> name + ":" + value + lineEnd);
        return field.list().ofMaxSize(3).map(lines -> String.join("", lines));
    }

    private static Arbitrary<String> statusLines(String lineEnd) {
        Arbitrary<String> statuses = Arbitraries.of("200", "299", "404", "503", "599");
        Arbitrary<String> reasons = Arbitraries.of("", " ", " OK", "  two words ", " \u00e9\t");
        return Combinators.combine(statuses, reasons)
                .as((status, reason) -> "HTTP/1.1 " + status + reason + lineEnd);
    }

    private static Arbitrary<String> chunks(String body) {
        Arbitrary<String> zeros = Arbitraries.of("", "0", "00000000000000000000");
        Arbitrary<String> extensions =
                Arbitraries.of("", ";a", ";a=b", " ; a = \"b\\\"c\"", ";a;b=\"\u00ff;\"\t;c");
        Arbitrary<String> ends =
                Combinators.combine(zeros, extensions)
                        .as((zero, extension) -> zero + SIZE + extension + "\r\n");
        return Combinators.combine(ends, ends, ends, fields("\r\n"), Arbitraries.integers())
                .as(
                        (first, second, last, trailers, split) -> {
                            int cut = Math.floorMod(split, body.length() + 1);
                            return chunk(first, body.substring(0, cut))
                                    + chunk(second, body.substring(cut))
                                    + last.replace(SIZE, "0")
                                    + trailers
                                    + "\r\n";
                        });
    }

    private static String chunk(String line, String data) {
        return data.isEmpty()
                ? ""
                : line.replace(SIZE, Integer.toHexString(data.length())) + data + "\r\n";
    }

    @Provide
    Arbitrary<SoundResponse> soundResponses() {
        Arbitrary<String> bodies = Arbitraries.strings().withChars("k\r\n:0\u00ff").ofMaxLength(40);
        Arbitrary<String> lineEnds = Arbitraries.of("\r\n", "\n");
        return Combinators.combine(bodies, lineEnds).flatAs(this::responses);
    }

    private Arbitrary<SoundResponse> responses(String body, String lineEnd) {
        Arbitrary<String> interim =
                Arbitraries.of("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103\nLink: x\n\n");
        Arbitrary<String> lengths =
                Arbitraries.of("", "0", "00000000000000000000")
                        .map(zeros -> "Content-Length: \t" + zeros + body.length() + " " + lineEnd)
                        .map(field -> field + END_OF_HEAD + body);
        Arbitrary<String> chunked =
                chunks(body)
                        .flatMap(
                                data ->
                                        Arbitraries.of("chunked", "\tCHUNKED ")
                                                .map(
                                                        coding ->
                                                                "transfer-ENCODING:"
                                                                        + coding
                                                                        + lineEnd
                                                                        + END_OF_HEAD
                                                                        + data));
        Arbitrary<String> framed =
                Arbitraries.oneOf(lengths, chunked, Arbitraries.just(END_OF_HEAD + body));
        return Combinators.combine(
                        interim, statusLines(lineEnd), fields(lineEnd), framed, fields(lineEnd))
                .as(
                        (before, status, first, rest, last) ->
                                new SoundResponse(
                                        before
                                                + status
                                                + first
                                                + rest.replace(END_OF_HEAD, last + lineEnd),
                                        body));
    }

    /** How a response is spoilt at a position. */
    private enum Fault {
        REPLACED_BYTE {
            @Override
            String spoil(String bytes, int position, char other) {
                return bytes.substring(0, position) + other + bytes.substring(position + 1);
            }
        },
        INSERTED_BYTE {
            @Override
            String spoil(String bytes, int position, char other) {
                return bytes.substring(0, position) + other + bytes.substring(position);
            }
        },
        LOST_BYTE {
            @Override
            String spoil(String bytes, int position, char other) {
                return bytes.substring(0, position) + bytes.substring(position + 1);
            }
        },
        LOST_END {
            @Override
            String spoil(String bytes, int position, char other) {
                return bytes.substring(0, position);
            }
        },
        INSERTED_LINE {
            @Override
            String spoil(String bytes, int position, char other) {
                int start = bytes.indexOf('\n', position) + 1;
                return bytes.substring(0, start) + "no field" + "\r\n" + bytes.substring(start);
            }
        },
        REPEATED_LINE {
            @Override
            String spoil(String bytes, int position, char other) {
                int start = bytes.lastIndexOf('\n', position) + 1;
                int end = bytes.indexOf('\n', start) + 1;
                return end == 0 ? bytes : bytes.substring(0, end) + bytes.substring(start);
            }
        };

        abstract String spoil(String bytes, int position, char other);
    }

    @Property(
            seed = "1",
            tries = 400,
            shrinking = ShrinkingMode.OFF,
            edgeCases = EdgeCasesMode.NONE)
    void soundResponseIsTaken(@ForAll("soundResponses") SoundResponse response, @ForAll int split)
            throws Exception {
        Optional<String> body = Optional.of(response.body());
        assertEquals(body, ResponseOracle.bodyOf(response.bytes()), response::toString);
        assertEquals(body, receive(response.bytes(), Math.abs(split / 2)), response::toString);
    }

    @Property(
            seed = "1",
            tries = 2_000,
            shrinking = ShrinkingMode.OFF,
            edgeCases = EdgeCasesMode.NONE)
    void spoiltResponseIsTakenOnlyIfTheGrammarAllowsIt(
            @ForAll("soundResponses") SoundResponse response,
            @ForAll Fault fault,
            @ForAll int position,
            @ForAll("specialBytes") char other,
            @ForAll int split)
            throws Exception {
        int index = Math.floorMod(position, response.bytes().length());
        String spoilt = fault.spoil(response.bytes(), index, other);
        assertEquals(
                ResponseOracle.bodyOf(spoilt),
                receive(spoilt, Math.abs(split / 2)),
                () -> fault + " at " + index + ": " + response + " became " + escape(spoilt));
    }

    @Provide
    Arbitrary<Character> specialBytes() {
        return Arbitraries.of(SPECIAL_BYTES.chars().mapToObj(value -> (char) value).toList());
    }
}
