package org.hemlockrack.daemon.operator;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.errors.ErrorKind;

/** Endpoints for the platform: health, readiness and metrics. */
public final class HealthEndpoints {
    private static final Set<String> PATHS = Set.of("/healthz", "/readyz", "/metrics");

    private final BooleanSupplier mReady;
    private final Metrics mMetrics;

    private HealthEndpoints(BooleanSupplier ready, Metrics metrics) {
        mReady = ready;
        mMetrics = metrics;
    }

    /**
     * Creates the endpoints.
     *
     * @param ready whether the instance takes work; callable from any thread
     * @param metrics the metrics to show
     * @return the endpoints
     */
    public static HealthEndpoints create(BooleanSupplier ready, Metrics metrics) {
        return new HealthEndpoints(ready, metrics);
    }

    /** Returns whether a path is one of these endpoints. */
    public boolean handles(String path) {
        return PATHS.contains(path);
    }

    boolean ready() {
        return mReady.getAsBoolean();
    }

    /**
     * Answers a request for one of the endpoints.
     *
     * @param call the request
     * @param responder takes the answer
     */
    public void handle(HttpCall call, Responder responder) {
        switch (call.path()) {
            case "/healthz" -> text(responder, "ok\n");
            case "/readyz" -> readiness(responder);
            default -> text(responder, mMetrics.render());
        }
    }

    /**
     * Answers a request on a port that has no other endpoints.
     *
     * @param call the request
     * @param responder takes the answer
     */
    public void handleOrRefuse(HttpCall call, Responder responder) {
        if (handles(call.path())) {
            handle(call, responder);
            return;
        }
        responder.sendError(
                ErrorKind.NOT_FOUND, "no such page: " + call.method() + " " + call.path(), 0);
    }

    private void readiness(Responder responder) {
        if (ready()) {
            text(responder, "ready\n");
            return;
        }
        responder.sendError(ErrorKind.NOT_READY, "the instance is not ready", 1_000);
    }

    private static void text(Responder responder, String body) {
        responder.send(
                200,
                List.of(HeaderField.of("Content-Type", "text/plain; version=0.0.4")),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
