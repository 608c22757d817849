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

/** An operator port that sends stubbed responses and records the requests. */
final class FakeInstance implements AutoCloseable {
    private static final int NOT_FOUND = 404;
    private static final StubbedResponse UNSTUBBED =
            new StubbedResponse(
                    NOT_FOUND,
                    "",
                    "{\"error\":{\"kind\":\"NOT_FOUND\",\"message\":\"no such page\","
                            + "\"ran\":\"not_run\"}}");

    private final HttpServer mServer;
    private final Map<String, StubbedResponse> mStubs = new ConcurrentHashMap<>();
    private final List<ReceivedRequest> mRequests = new CopyOnWriteArrayList<>();

    private record StubbedResponse(int status, String etag, String body) {}

    /** One received request. */
    record ReceivedRequest(
            String method, String uri, String ifMatch, String requestId, String body) {}

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

    FakeInstance stub(String request, int status, String body) {
        mStubs.put(request, new StubbedResponse(status, "\"7\"", body));
        return this;
    }

    ReceivedRequest lastRequest() {
        return mRequests.get(mRequests.size() - 1);
    }

    List<ReceivedRequest> requests() {
        return mRequests;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        byte[] body = exchange.getRequestBody().readAllBytes();
        mRequests.add(
                new ReceivedRequest(
                        method,
                        exchange.getRequestURI().toString(),
                        exchange.getRequestHeaders().getFirst("If-Match"),
                        exchange.getRequestHeaders().getFirst("X-Request-Id"),
                        new String(body, StandardCharsets.UTF_8)));
        String request = method + " " + exchange.getRequestURI().getRawPath();
        StubbedResponse response = mStubs.getOrDefault(request, UNSTUBBED);
        if (!response.etag().isEmpty()) {
            exchange.getResponseHeaders().set("ETag", response.etag());
        }
        byte[] responseBody = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(
                response.status(), responseBody.length == 0 ? -1 : responseBody.length);
        exchange.getResponseBody().write(responseBody);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
