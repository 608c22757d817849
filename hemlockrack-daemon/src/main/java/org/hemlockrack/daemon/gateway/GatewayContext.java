package org.hemlockrack.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.errors.ErrorKind;

/**
 * What all exchanges of a gateway share.
 *
 * @param loop runs timers
 * @param dialect how callers and servers write
 * @param pool servers, limits and counts
 * @param client sends requests that may be repeated, over kept connections
 * @param singleUseClient sends commands; a kept connection that the server closes at the wrong
 *     moment would leave their outcome unknown
 * @param log one line for each decision
 * @param metrics counters
 * @param random spreads the return of refused callers
 */
record GatewayContext(
        Loop loop,
        Dialect dialect,
        SharedPool pool,
        HttpClient client,
        HttpClient singleUseClient,
        DecisionLog log,
        Metrics metrics,
        RandomGenerator random) {
    /** Shortest time after which a refused caller returns; a burst drains within some of these. */
    private static final long MIN_RETRY_MILLIS = 150;

    /** Range over which refused callers are spread, so that they do not return together. */
    private static final long RETRY_SPREAD_MILLIS = 350;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Counts a delivered answer. */
    void answered(String route, long firstByteNanos, long wholeNanos) {
        ended("answered");
        metrics.count(MetricName.ROUTE_REQUESTS, "route", route);
        metrics.record(MetricName.ROUTE_FIRST_BYTE, "route", route, firstByteNanos);
        metrics.record(MetricName.FIRST_BYTE, firstByteNanos);
        metrics.record(MetricName.WHOLE, wholeNanos);
    }

    /** Counts a request that has ended. */
    void ended(String outcome) {
        metrics.count(MetricName.REQUESTS, "kind", outcome);
    }

    /** Sends a refusal or failure of this gateway's own. */
    void refuse(Responder responder, ErrorKind kind, String message) {
        refuse(responder, kind, message, 0);
    }

    /** Sends a refusal with the time until the cause is expected to be over. */
    void refuse(Responder responder, ErrorKind kind, String message, long expectedMillis) {
        String name = kind.name().toLowerCase(Locale.ROOT);
        metrics.count(MetricName.REFUSALS, "kind", name);
        ended(name);
        long retryMillis = kind.isRetryable() ? expectedMillis + retryMillis() : 0;
        String json = Responder.errorJson(kind, kind.runState(), message, retryMillis).toString();
        HeaderField type = HeaderField.of("Content-Type", "application/json");
        List<HeaderField> headers =
                retryMillis == 0 ? List.of(type) : List.of(type, retryAfter(retryMillis));
        responder.send(kind.httpStatus(), headers, json.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long retryMillis() {
        return MIN_RETRY_MILLIS + random.nextLong(RETRY_SPREAD_MILLIS);
    }

    private static HeaderField retryAfter(long millis) {
        return HeaderField.of(
                "Retry-After", String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND));
    }
}
