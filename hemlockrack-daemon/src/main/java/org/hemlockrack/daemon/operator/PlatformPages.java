package org.hemlockrack.daemon.operator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;

/** Pages for the platform: health, readiness and metrics. */
public final class PlatformPages {
    private static final Set<String> PATHS = Set.of("/healthz", "/readyz", "/metrics");

    private final BooleanSupplier mReady;
    private final MetricRegistry mMetrics;

    private PlatformPages(BooleanSupplier ready, MetricRegistry metrics) {
        mReady = ready;
        mMetrics = metrics;
    }

    /**
     * Creates the pages.
     *
     * @param ready whether the instance takes work; callable from any thread
     * @param metrics the metrics to show
     * @return the pages
     */
    public static PlatformPages create(BooleanSupplier ready, MetricRegistry metrics) {
        return new PlatformPages(ready, metrics);
    }

    /** Returns whether a path is one of these pages. */
    public boolean handles(String path) {
        return PATHS.contains(path);
    }

    boolean ready() {
        return mReady.getAsBoolean();
    }

    /**
     * Answers a request for a page.
     *
     * @param call the request
     * @param responder takes the answer
     */
    public void handle(HttpCall call, Responder responder) {
        switch (call.path()) {
            case "/healthz" -> text(responder, "ok\n");
            case "/readyz" -> readiness(responder);
            default -> text(responder, exposition());
        }
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

    private String exposition() {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> entry : mMetrics.getCounters().entrySet()) {
            line(text, entry.getKey(), "counter", entry.getValue().getCount());
        }
        mMetrics.getGauges().forEach((name, gauge) -> line(text, name, "gauge", gauge.getValue()));
        return text.toString();
    }

    private static void line(StringBuilder text, String name, String type, Object value) {
        text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        text.append(name).append(' ').append(value).append('\n');
    }
}
