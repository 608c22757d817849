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

/** HTTP endpoints for liveness, readiness and metrics. */
public final class HealthEndpoints {
    private static final Set<String> PATHS = Set.of("/healthz", "/readyz", "/metrics");

    private final BooleanSupplier mIsReady;
    private final Metrics mMetrics;

    private HealthEndpoints(BooleanSupplier isReady, Metrics metrics) {
        mIsReady = isReady;
        mMetrics = metrics;
    }

    /**
     * Creates the endpoints.
     *
     * @param isReady whether the instance accepts requests; called from any thread
     * @param metrics the metrics to export
     * @return the endpoints
     */
    public static HealthEndpoints create(BooleanSupplier isReady, Metrics metrics) {
        return new HealthEndpoints(isReady, metrics);
    }

    /** Returns whether a path belongs to one of these endpoints. */
    public boolean handles(String path) {
        return PATHS.contains(path);
    }

    boolean isReady() {
        return mIsReady.getAsBoolean();
    }

    /**
     * Responds to a request whose path {@linkplain #handles belongs} to one of these endpoints.
     *
     * @param call the request
     * @param responder sends the response
     */
    public void handle(HttpCall call, Responder responder) {
        switch (call.path()) {
            case "/healthz" -> sendText(responder, "ok\n");
            case "/readyz" -> sendReadiness(responder);
            default -> sendText(responder, mMetrics.render());
        }
    }

    /**
     * Responds to a request on a port that has no other endpoints; any other path is not found.
     *
     * @param call the request
     * @param responder sends the response
     */
    public void handleOrRefuse(HttpCall call, Responder responder) {
        if (handles(call.path())) {
            handle(call, responder);
            return;
        }
        responder.sendError(
                ErrorKind.NOT_FOUND, "no such page: " + call.method() + " " + call.path(), 0);
    }

    private void sendReadiness(Responder responder) {
        if (isReady()) {
            sendText(responder, "ready\n");
            return;
        }
        responder.sendError(ErrorKind.NOT_READY, "the instance is not ready", 1_000);
    }

    private static void sendText(Responder responder, String body) {
        responder.sendDocument(
                200,
                List.of(HeaderField.of("Content-Type", "text/plain; version=0.0.4")),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
