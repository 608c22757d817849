package org.hemlockrack.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.limits.ByteBudget;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.Registration;

/**
 * Services and state that all exchanges of a gateway share.
 *
 * @param loop runs timers
 * @param protocol protocol of callers and backend servers
 * @param state servers and answer counts
 * @param retries grants retries within the fleet's limits
 * @param quarantine holds back requests that crash servers
 * @param dutyReports counts what the holders of duties need
 * @param queues requests that wait for a free slot of a service
 * @param client sends requests that may be retried, over pooled connections
 * @param singleUseClient sends each command, and each retry after a lost answer, over a new
 *     connection; if a server closed a pooled connection while a command is sent, the outcome of
 *     the command would be unknown
 * @param openExchanges the exchanges that have not ended
 * @param answerBudget memory for answers that callers have not taken yet
 * @param log log with one line for each decision
 * @param metrics counters
 * @param random spreads the retries of refused callers
 */
record GatewayContext(
        EventLoop loop,
        ProtocolAdapter protocol,
        GatewayState state,
        RetryPermits retries,
        GatewayQuarantine quarantine,
        DutyReports dutyReports,
        QueueService queues,
        HttpClient client,
        HttpClient singleUseClient,
        OpenExchanges openExchanges,
        ByteBudget answerBudget,
        DecisionLog log,
        Metrics metrics,
        RandomGenerator random) {
    /** Shortest retry delay sent to a refused caller; a burst drains within a few such delays. */
    private static final long MIN_RETRY_MILLIS = 150;

    /**
     * Range of the random part of the retry delay, so that refused callers do not all retry at the
     * same time.
     */
    private static final long RETRY_SPREAD_MILLIS = 350;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Counts a delivered answer. */
    void countAnswered(String route, long firstByteNanos, long wholeNanos) {
        countEnded("answered");
        metrics.increment(MetricName.ROUTE_REQUESTS, "route", route);
        metrics.recordDuration(MetricName.ROUTE_FIRST_BYTE, "route", route, firstByteNanos);
        metrics.recordDuration(MetricName.FIRST_BYTE, firstByteNanos);
        metrics.recordDuration(MetricName.REQUEST_DURATION, wholeNanos);
    }

    /** Counts a request that has ended. */
    void countEnded(String outcome) {
        metrics.increment(MetricName.REQUESTS, "kind", outcome);
    }

    /** Records how an attempt at a server ended, which frees its place there. */
    void recordOutcome(Registration server, AttemptOutcome outcome) {
        state.onAttemptEnded(System.nanoTime(), server.id(), outcome);
    }

    /**
     * Acquires one retry within the fleet's limit.
     *
     * @param onDecided receives whether the retry is granted
     */
    void acquireRetry(ServiceId service, Consumer<Boolean> onDecided) {
        retries.acquire(
                service,
                granted -> {
                    if (!granted) {
                        metrics.increment(MetricName.RETRIES_DENIED, "limit", "fleet");
                    }
                    onDecided.accept(granted);
                });
    }

    /** Records what a server says in its answer about further requests. */
    void recordStatement(Registration server, AnswerMetadata metadata) {
        long nowNanos = System.nanoTime();
        state.recordReport(nowNanos, server, metadata.load());
        boolean accepted = state.accepts(nowNanos, server);
        if (metadata.leaving()) {
            state.recordLeaving(server);
        }
        if (metadata.restMillis() > 0) {
            state.recordRest(nowNanos, server, metadata.restMillis());
        }
        if (accepted && (metadata.leaving() || metadata.restMillis() > 0)) {
            log.instanceEvent(metadata.leaving() ? "server_says_leaving" : "server_rests")
                    .put("server", server.id().value())
                    .put("rest_ms", metadata.restMillis())
                    .write();
        }
    }

    /** Sends an error that this gateway itself reports. */
    void refuse(Responder responder, ErrorKind kind, String message) {
        refuse(responder, kind, message, 0);
    }

    /**
     * Sends an error that this gateway itself reports. If the error is retryable, the expected time
     * until its cause is gone is added to the retry delay.
     */
    void refuse(Responder responder, ErrorKind kind, String message, long expectedMillis) {
        long retryMillis = kind.isRetryable() ? expectedMillis + randomRetryMillis() : 0;
        refuseUntil(responder, kind, message, retryMillis);
    }

    /**
     * Sends an error that this gateway itself reports.
     *
     * @param retryMillis time after which the caller should retry, 0 for none
     */
    void refuseUntil(Responder responder, ErrorKind kind, String message, long retryMillis) {
        String errorName = kind.name().toLowerCase(Locale.ROOT);
        metrics.increment(MetricName.REFUSALS, "kind", errorName);
        countEnded(errorName);
        String json = Responder.errorJson(kind, kind.runState(), message, retryMillis).toString();
        HeaderField type = HeaderField.of("Content-Type", "application/json");
        List<HeaderField> headers =
                retryMillis == 0 ? List.of(type) : List.of(type, retryAfterField(retryMillis));
        responder.send(kind.httpStatus(), headers, json.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long randomRetryMillis() {
        return MIN_RETRY_MILLIS + random.nextLong(RETRY_SPREAD_MILLIS);
    }

    private static HeaderField retryAfterField(long millis) {
        return HeaderField.of(
                "Retry-After", String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND));
    }
}
