package org.hemlockrack.daemon.gateway;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.hemlockrack.capacity.ReportedLoad;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.LoadBasis;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.dispatch.ServerCost;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.routing.Route;
import org.jspecify.annotations.Nullable;

/** Writes the log lines of one exchange. */
final class ExchangeLog {
    /** Prompt parts in a log line; a prompt has a few, but the number is up to the caller. */
    private static final int MAX_LOGGED_PARTS = 8;

    private static final double PERCENT = 100;

    /** Shorter waits are logged only for sampled requests. */
    private static final long MIN_LOGGED_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Logged if a workspace has no bounded share because nobody waits. */
    private static final double MAX_LOGGED_SHARE = 999_999;

    private static final String LOAD_BOUND_EXCEEDED = "load_bound_exceeded";

    private final DecisionLog mLog;
    private final OpenExchanges mOpenExchanges;
    private final String mAttemptId;
    private final Route mRoute;
    private final @Nullable String mWorkspace;
    private final long mTableVersion;
    private final List<String> mPromptParts;
    private final long mStartNanos;

    ExchangeLog(
            DecisionLog log,
            OpenExchanges openExchanges,
            String attemptId,
            Route route,
            @Nullable String workspace,
            long tableVersion,
            List<String> promptParts,
            long startNanos) {
        mLog = log;
        mOpenExchanges = openExchanges;
        mAttemptId = attemptId;
        mRoute = route;
        mWorkspace = workspace;
        mTableVersion = tableVersion;
        mPromptParts = promptParts;
        mStartNanos = startNanos;
    }

    void attemptFailed(
            ForwardAttempt attempt, AttemptOutcome outcome, String cause, boolean again) {
        mLog.requestEvent("attempt_failed", mAttemptId)
                .put("route", mRoute.name())
                .put("server", attempt.server().id().value())
                .put("outcome", outcome.name())
                .put("cause", cause)
                .put("load", attempt.choice().load())
                .put("begun", attempt.hasBegun() ? "yes" : "no")
                .put("body_bytes", attempt.bodyBytes())
                .put("parts", describeParts())
                .put("elapsed_ms", elapsedMillis())
                .put("again", again ? "yes" : "no")
                .write();
    }

    /** Writes a line about a delivered answer, or only counts it if it is an ordinary one. */
    void answered(ForwardAttempt attempt, int status, int attempts) {
        long elapsedMillis = elapsedMillis();
        boolean late = attempt.firstByteMillis() > mRoute.targetLatencyMillis();
        if (status < 400 && !late && attempts == 1 && !mLog.shouldSample()) {
            return;
        }
        DecisionLog.Line line = mLog.requestEvent(late ? "answered_late" : "answered", mAttemptId);
        line.put("route", mRoute.name())
                .put("workspace", mWorkspace)
                .put("server", attempt.server().id().value())
                .put("why", attempt.choice().reason().name())
                .put("load", attempt.choice().load())
                .put("candidates", attempt.choice().candidates())
                .put("table", mTableVersion)
                .put("status", status)
                .put("attempts", attempts)
                .put("first_byte_ms", attempt.firstByteMillis())
                .put("elapsed_ms", elapsedMillis);
        putBasis(line, attempt.choice().basis());
        ServerCost cost = attempt.choice().cost();
        // No cost was compared if all terms are zero.
        if (cost.total() != 0) {
            putCost(line::put, cost);
        }
        line.write();
    }

    /** Writes a line if a server reports more requests than its load bound was at its choice. */
    void loadReported(ForwardAttempt attempt, ReportedLoad load) {
        ServerChoice choice = attempt.choice();
        if (!load.hasRequests()
                || load.requests() <= choice.basis().boundRequests()
                || !mLog.isDue(LOAD_BOUND_EXCEEDED)) {
            return;
        }
        DecisionLog.Line line =
                mLog.requestEvent(LOAD_BOUND_EXCEEDED, mAttemptId)
                        .put("route", mRoute.name())
                        .put("server", attempt.server().id().value())
                        .put("why", choice.reason().name())
                        .put("load", choice.load())
                        .put("running", load.running())
                        .put("waiting", load.waiting())
                        .put("elapsed_ms", elapsedMillis());
        putBasis(line, choice.basis());
        line.write();
    }

    private static void putBasis(DecisionLog.Line line, LoadBasis basis) {
        line.put("own", basis.ownRequests())
                .put("mean", oneDecimal(basis.meanRequests()))
                .put("bound", oneDecimal(basis.boundRequests()))
                .put("sum_age_ms", TimeUnit.NANOSECONDS.toMillis(basis.sumAgeNanos()))
                .put("sum_source", basis.sumSource());
    }

    private static String oneDecimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    /** Adds the terms that decide a choice, except the random one. */
    static void putCost(BiConsumer<String, Long> fields, ServerCost cost) {
        fields.accept("cost_load_pct", percent(cost.load()));
        fields.accept("cost_work_pct", percent(cost.work()));
        fields.accept("cost_prefix_pct", percent(cost.prefix()));
        fields.accept("cost_zone_pct", percent(cost.zone()));
    }

    /** Returns a term of a cost in percent. */
    static long percent(double term) {
        return Math.round(PERCENT * term);
    }

    void failed(ErrorKind kind, @Nullable ForwardAttempt attempt, String cause, int attempts) {
        ended("failed_" + kind.name().toLowerCase(Locale.ROOT), attempt, cause, attempts);
    }

    void ended(String event, @Nullable ForwardAttempt attempt, String cause, int attempts) {
        DecisionLog.Line line =
                mLog.requestEvent(event, mAttemptId)
                        .put("route", mRoute.name())
                        .put("workspace", mWorkspace)
                        .put("server", attempt == null ? null : attempt.server().id().value())
                        .put("cause", cause)
                        .put("table", mTableVersion)
                        .put("attempts", attempts)
                        .put("elapsed_ms", elapsedMillis());
        if (attempt != null) {
            line.put("body_bytes", attempt.bodyBytes());
        }
        if (mOpenExchanges.isStopping()) {
            line.put("stopping_ms", mOpenExchanges.sinceStopMillis(System.nanoTime()));
        }
        line.write();
    }

    /** Writes a line about a request that has waited for a free slot and is sent now. */
    void servedAfterWait(WaitReport report, int rank) {
        if (report.waitedNanos() < MIN_LOGGED_WAIT_NANOS && !mLog.shouldSample()) {
            return;
        }
        waitLine("left_queue", report, rank).write();
    }

    /** Writes a line about a request that has waited for a free slot and is refused. */
    void refusedFromQueue(QueueService.Refusal refusal, int rank) {
        waitLine("refused_in_queue", refusal.report(), rank)
                .put("reason", refusal.reason().name())
                .put("waiting", refusal.waiting())
                .put("retry_ms", refusal.retryMillis())
                .write();
    }

    private DecisionLog.Line waitLine(String event, WaitReport report, int rank) {
        return mLog.requestEvent(event, mAttemptId)
                .put("route", mRoute.name())
                .put("workspace", mWorkspace)
                .put("rank", rank)
                .put("why", report.cause().name())
                .put("waited_ms", TimeUnit.NANOSECONDS.toMillis(report.waitedNanos()))
                .put("served_before", report.servedBefore())
                .put("usage", (long) report.usage())
                .put("share", (long) Math.min(MAX_LOGGED_SHARE, report.share()));
    }

    /** Writes a line about a late request that is passed on although this instance stops. */
    void passedOnWhileStopping(long expectedNanos) {
        long nowNanos = System.nanoTime();
        mLog.requestEvent("passed_on_while_stopping", mAttemptId)
                .put("route", mRoute.name())
                .put("expected_ms", TimeUnit.NANOSECONDS.toMillis(expectedNanos))
                .put("left_ms", mOpenExchanges.remainingMillis(nowNanos))
                .put("stopping_ms", mOpenExchanges.sinceStopMillis(nowNanos))
                .write();
    }

    /** Returns the names of the prompt's parts, the first ones only. */
    private String describeParts() {
        return String.join(
                ",", mPromptParts.subList(0, Math.min(mPromptParts.size(), MAX_LOGGED_PARTS)));
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
    }
}
