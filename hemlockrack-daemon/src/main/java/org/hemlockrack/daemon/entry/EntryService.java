package org.hemlockrack.daemon.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.admission.WorkspaceLimiter;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.ServiceConfig;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.owner.AnswerListener;
import org.hemlockrack.daemon.owner.ForwardingMetadata;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.owner.RunningAttempt;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.placement.CacheEvent;
import org.hemlockrack.placement.Placement;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.placement.PlacementSettings;
import org.hemlockrack.retry.RetryBudget;
import org.hemlockrack.retry.RetryBudgetSettings;
import org.jspecify.annotations.Nullable;

/**
 * Accepts callers' requests and forwards them to the owners of backend servers. {@link #handle} may
 * be called on any thread; unless stated otherwise, the other methods may only be called on the
 * loop.
 */
public final class EntryService {
    private static final int MAX_CHOICES = 3;
    private static final int MAX_BURST = 1_000_000;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final OwnerService mOwner;
    private final HttpClient mClient;
    private final HttpClient mCommandClient;
    private final EventLog mLog;
    private final Metrics mMetrics;
    private final RequestReader mReader;
    private final Placement mPlacement = Placement.create(PlacementSettings.defaults());
    private final Map<ServiceId, RetryBudget> mRetryBudgets = new HashMap<>();
    private final Set<CallerExchange> mOpenExchanges = new HashSet<>();
    private final ClaimGate mClaims;
    private final RolloutService mRollouts;
    private final RequestObserver mObserver;

    private WorkspaceLimiter mLimiter = WorkspaceLimiter.create(quota(1, 1));
    private volatile Configuration mConfiguration = Configuration.empty();
    private volatile boolean mReady;
    private boolean mStopped;

    private EntryService(
            EventLoop loop,
            FleetMembership fleet,
            OwnerService owner,
            HttpClient client,
            HttpClient commandClient,
            ClaimGate claims,
            RolloutService rollouts,
            RequestObserver observer,
            EventLog log,
            Metrics metrics,
            String idPrefix) {
        mMetrics = metrics;
        mLoop = loop;
        mFleet = fleet;
        mOwner = owner;
        mClient = client;
        mCommandClient = commandClient;
        mClaims = claims;
        mRollouts = rollouts;
        mObserver = observer;
        mLog = log;
        mReader = new RequestReader(idPrefix);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param owner the backend servers that this instance owns
     * @param client client for idempotent requests
     * @param commandClient client that opens a connection for each request
     * @param claims decides whether a command with an idempotency key may run
     * @param rollouts traffic shares of model versions
     * @param observer receives the outcomes of requests
     * @param log the event log
     * @param metrics the metrics
     * @param idPrefix differs between any two processes, to make request ids unique
     * @return the service
     */
    public static EntryService create(
            EventLoop loop,
            FleetMembership fleet,
            OwnerService owner,
            HttpClient client,
            HttpClient commandClient,
            ClaimGate claims,
            RolloutService rollouts,
            RequestObserver observer,
            EventLog log,
            Metrics metrics,
            String idPrefix) {
        return new EntryService(
                loop,
                fleet,
                owner,
                client,
                commandClient,
                claims,
                rollouts,
                observer,
                log,
                metrics,
                idPrefix);
    }

    private static WorkspaceLimiter.Quota quota(int maxConcurrent, double ratePerSecond) {
        int burst = (int) Math.max(1, Math.min(MAX_BURST, ratePerSecond));
        return new WorkspaceLimiter.Quota(maxConcurrent, ratePerSecond, burst);
    }

    /** Applies the configuration in force. */
    public void configure(Configuration configuration) {
        mConfiguration = configuration;
        configuration
                .workspaces()
                .forEach(
                        (id, config) ->
                                mLimiter.setQuota(
                                        id,
                                        quota(
                                                config.maxConcurrentRequests(),
                                                config.requestsPerSecond())));
        configuration
                .services()
                .forEach(
                        (id, config) ->
                                mRetryBudgets.computeIfAbsent(id, key -> retryBudget(config)));
        refreshCandidates(mFleet.view());
    }

    private static RetryBudget retryBudget(ServiceConfig config) {
        RetryBudgetSettings defaults = RetryBudgetSettings.defaults();
        return RetryBudget.create(
                new RetryBudgetSettings(
                        config.retryBudgetShare(), defaults.minPerSecond(), defaults.burst()));
    }

    /** Rebuilds the candidates for placement. */
    public void refreshCandidates(MembershipView view) {
        mPlacement.update(
                mLoop.nowNanos(), Candidates.of(view, mConfiguration, mRollouts, mFleet::inFlight));
    }

    /** Updates the placement of chats by a change of a backend server's cache. */
    public void applyCacheEvent(CacheEvent event) {
        mPlacement.applyCacheEvent(mLoop.nowNanos(), event);
    }

    /** Sets whether requests are accepted. */
    public void setReady(boolean ready) {
        mReady = ready;
    }

    /** Returns whether requests are accepted. Safe for use from any thread. */
    public boolean isReady() {
        return mReady;
    }

    /** Returns the number of open requests. */
    public int openRequestCount() {
        return mOpenExchanges.size();
    }

    /**
     * Ends all open requests because this instance stops, and refuses those that come later.
     *
     * @return number of requests that were ended
     */
    public int endAll() {
        mStopped = true;
        List<CallerExchange> open = List.copyOf(mOpenExchanges);
        open.forEach(CallerExchange::onInstanceStops);
        return open.size();
    }

    /**
     * Handles a caller's request. Safe for use from any thread.
     *
     * @param call the request
     * @param responder receives the answer
     */
    public void handle(HttpCall call, Responder responder) {
        if (!mReady) {
            refuse(responder, ErrorKind.NOT_READY, "the instance is not ready", 1_000);
            return;
        }
        try {
            CallerRequest request = mReader.read(mLoop.nowNanos(), mConfiguration, call);
            mLoop.execute(() -> accept(request, responder));
        } catch (HemlockrackException e) {
            refuse(responder, e.kind(), e.getMessage(), 0);
        }
    }

    private void accept(CallerRequest request, Responder responder) {
        if (mStopped) {
            refuse(responder, ErrorKind.NOT_READY, ErrorText.INSTANCE_STOPS, 0);
            return;
        }
        WorkspaceLimiter.Decision decision =
                mLimiter.tryAcquire(mLoop.nowNanos(), request.workspace());
        if (!decision.allowed()) {
            long retryAfterMillis = TimeUnit.NANOSECONDS.toMillis(decision.retryAfterNanos());
            refuse(
                    responder,
                    decision.errorKind(),
                    "workspace \"" + request.workspace() + "\" is over its limit",
                    Math.max(1, retryAfterMillis));
            return;
        }
        retryBudget(request.service()).onRequest(mLoop.nowNanos());
        CallerExchange exchange = new CallerExchange(this, mLoop, request, responder);
        mOpenExchanges.add(exchange);
        exchange.start();
    }

    /** Removes an exchange that has ended and releases its slot in the workspace's limit. */
    void onExchangeClosed(CallerExchange exchange) {
        if (mOpenExchanges.remove(exchange)) {
            mLimiter.release(exchange.request().workspace());
        }
    }

    RetryBudget retryBudget(ServiceId service) {
        return mRetryBudgets.computeIfAbsent(
                service, key -> RetryBudget.create(RetryBudgetSettings.defaults()));
    }

    ClaimGate claims() {
        return mClaims;
    }

    RequestObserver observer() {
        return mObserver;
    }

    boolean isNewVersion(PlacementChoice choice) {
        return mRollouts.isBeingRolledOut(choice.service(), choice.modelVersion());
    }

    /** Returns whether a zone that has servers for the request is out of service or unreachable. */
    boolean hasUnavailableZone(CallerRequest request) {
        MembershipView view = mFleet.view();
        for (Backend backend : view.backends().values()) {
            boolean unavailable =
                    !mConfiguration.isZoneInService(backend.zone())
                            || view.unreachableZones().contains(backend.zone());
            if (unavailable && backend.service().equals(request.service())) {
                return true;
            }
        }
        return false;
    }

    Metrics metrics() {
        return mMetrics;
    }

    /** Sends a refusal and counts it. */
    private void refuse(
            Responder responder, ErrorKind kind, @Nullable String message, long retryAfterMillis) {
        mMetrics.increment(MetricName.REFUSALS, "kind", kind.name());
        responder.sendError(kind, String.valueOf(message), retryAfterMillis);
    }

    EventLog log() {
        return mLog;
    }

    List<PlacementChoice> choose(CallerRequest request, Set<BackendId> excluded) {
        return mPlacement.choose(
                mLoop.nowNanos(),
                request.placementKey(),
                request.placementFilter(excluded),
                MAX_CHOICES);
    }

    void recordServed(CallerRequest request, PlacementChoice choice) {
        mPlacement.recordServed(mLoop.nowNanos(), request.placementKey(), choice);
    }

    /** Starts an attempt, or returns empty if the server's owner is not known. */
    Optional<RunningAttempt> startAttempt(
            CallerRequest request,
            HttpCall call,
            PlacementChoice choice,
            String attemptId,
            WaitMode waitMode,
            AnswerListener listener) {
        Optional<Backend> backend = mFleet.view().backend(choice.backend());
        if (backend.isEmpty()) {
            return Optional.empty();
        }
        ForwardingMetadata metadata =
                createForwardingMetadata(request, choice.backend(), attemptId, waitMode);
        if (backend.get().owner().equals(mFleet.selfId())) {
            return Optional.of(mOwner.run(metadata, call, listener));
        }
        Optional<Member> owner = mFleet.view().member(backend.get().owner());
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        HttpClient client = request.kind().isIdempotent() ? mClient : mCommandClient;
        String address = mFleet.forwardAddress(owner.get());
        return Optional.of(OwnerForwarder.forward(client, address, metadata, call, listener));
    }

    private ForwardingMetadata createForwardingMetadata(
            CallerRequest request, BackendId backend, String attemptId, WaitMode waitMode) {
        WorkspaceConfig config = request.workspaceConfig();
        long remainingNanos = request.firstByteDeadlineNanos() - mLoop.nowNanos();
        return new ForwardingMetadata(
                backend,
                attemptId,
                request.workspace(),
                config.priority(),
                request.kind(),
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos)),
                waitMode);
    }
}
