package org.hemlockrack.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** An operator port that gives planned answers and keeps the requests. */
final class FakeInstance implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final Planned UNPLANNED =
            new Planned(
                    NOT_FOUND,
                    "",
                    "{\"error\":{\"kind\":\"NOT_FOUND\",\"message\":\"no such page\","
                            + "\"ran\":\"not_run\"}}");

    private final HttpServer mServer;
    private final Map<String, Planned> mPlanned = new ConcurrentHashMap<>();
    private final List<Received> mReceived = new CopyOnWriteArrayList<>();

    private record Planned(int status, String etag, String body) {}

    /** One request as it arrived. */
    record Received(String method, String uri, String ifMatch, String requestId, String body) {}

    private FakeInstance(HttpServer server) {
        mServer = server;
    }

    static FakeInstance open() {
        try {
            InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
            HttpServer server = HttpServer.create(any, 0);
            FakeInstance fake = new FakeInstance(server);
            server.createContext("/", fake::handle);
            server.start();
            return fake;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    FakeInstance plan(String request, int status, String body) {
        mPlanned.put(request, new Planned(status, "\"7\"", body));
        return this;
    }

    Received last() {
        return mReceived.get(mReceived.size() - 1);
    }

    List<Received> received() {
        return mReceived;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        byte[] body = exchange.getRequestBody().readAllBytes();
        mReceived.add(
                new Received(
                        method,
                        exchange.getRequestURI().toString(),
                        exchange.getRequestHeaders().getFirst("If-Match"),
                        exchange.getRequestHeaders().getFirst("X-Request-Id"),
                        new String(body, StandardCharsets.UTF_8)));
        String page = method + " " + exchange.getRequestURI().getRawPath();
        Planned planned = mPlanned.getOrDefault(page, UNPLANNED);
        if (!planned.etag().isEmpty()) {
            exchange.getResponseHeaders().set("ETag", planned.etag());
        }
        byte[] answer = planned.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(planned.status(), answer.length == 0 ? -1 : answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
