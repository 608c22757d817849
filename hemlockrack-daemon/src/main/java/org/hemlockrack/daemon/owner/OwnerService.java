package org.hemlockrack.daemon.owner;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.HandoverMessage;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ZoneId;

/**
 * Manages the backend servers that this instance owns: leases, admission and the dispatch of
 * requests. Confined to the loop except where stated.
 */
public final class OwnerService {
    /** Time without an announcement after which an idle server is removed from the directory. */
    private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

    private static final long PERIODIC_UPDATE_MILLIS = 500;
    private static final int MAX_EARLY_HANDOVERS = 256;
    private static final int STATUS_REDIRECT = 307;
    private static final int STATUS_OK = 200;

    /** Provides settings and the state of zones from the configuration in force. */
    public interface Policy {
        /**
         * Returns the admission settings of a backend server.
         *
         * @param announcement announcement of the server
         * @return the settings
         */
        AdmissionSettings settings(Announcement announcement);

        /**
         * Returns whether servers of a zone may get new requests.
         *
         * @param zone the zone
         * @return false while operators have taken the zone out of service
         */
        boolean isZoneInService(ZoneId zone);
    }

    /** Notified about the leases of this instance on backend servers. */
    public interface OwnershipListener {
        /**
         * The lease on a server was granted or renewed.
         *
         * @param announcement last announcement of the server
         * @param leaseEndNanos monotonic time at which the lease ends
         */
        void onOwnershipRenewed(Announcement announcement, long leaseEndNanos);

        /**
         * The lease on a server ended.
         *
         * @param backend the server
         */
        void onOwnershipLost(BackendId backend);
    }

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final Policy mPolicy;
    private OwnershipListener mListener = new NoListener();
    private final HttpClient mClient;
    private final HttpClient mCommandClient;
    private final EventLog mLog;
    private final long mOwnerEpoch;
    private final long mStartNanos;
    private final Map<BackendId, OwnedBackend> mBackends = new LinkedHashMap<>();

    /** Handovers that arrived before the first announcement of their server. */
    private final Cache<BackendId, HandoverMessage> mEarlyHandovers =
            CacheBuilder.newBuilder()
                    .maximumSize(MAX_EARLY_HANDOVERS)
                    .expireAfterWrite(Duration.ofSeconds(10))
                    .build();

    private volatile Map<BackendId, BackendLoad> mBackendLoads = Map.of();
    private boolean mStopping;

    private OwnerService(
            EventLoop loop,
            FleetMembership fleet,
            Policy policy,
            HttpClient client,
            HttpClient commandClient,
            EventLog log,
            long ownerEpoch) {
        mLoop = loop;
        mFleet = fleet;
        mPolicy = policy;
        mClient = client;
        mCommandClient = commandClient;
        mLog = log;
        mOwnerEpoch = ownerEpoch;
        mStartNanos = loop.nowNanos();
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param policy settings and zones of the configuration
     * @param client client for idempotent requests
     * @param commandClient client for non-idempotent requests, which opens a new connection for
     *     each request
     * @param log the event log
     * @param ownerEpoch identifies this process; differs between any two processes of this instance
     * @return the service
     */
    public static OwnerService create(
            EventLoop loop,
            FleetMembership fleet,
            Policy policy,
            HttpClient client,
            HttpClient commandClient,
            EventLog log,
            long ownerEpoch) {
        OwnerService service =
                new OwnerService(loop, fleet, policy, client, commandClient, log, ownerEpoch);
        loop.scheduleWithFixedDelay(PERIODIC_UPDATE_MILLIS, service::runPeriodicUpdate);
        return service;
    }

    /** Used until a listener is set. */
    private static final class NoListener implements OwnershipListener {
        @Override
        public void onOwnershipRenewed(Announcement announcement, long leaseEndNanos) {}

        @Override
        public void onOwnershipLost(BackendId backend) {}
    }

    /** Sets the listener. */
    public void setListener(OwnershipListener listener) {
        mListener = listener;
    }

    /**
     * Handles an announcement: acknowledges it if this instance is the owner of the server,
     * otherwise redirects the server to its owner. Safe for use from any thread.
     *
     * @param call the announcement
     * @param responder receives the answer
     */
    public void handleAnnouncement(HttpCall call, Responder responder) {
        Announcement announcement;
        try {
            announcement = Announcement.parse(call.body());
        } catch (HemlockrackException e) {
            responder.sendError(e.kind(), e.getMessage(), 0);
            return;
        }
        mLoop.execute(() -> handleOnLoop(announcement, responder));
    }

    private void handleOnLoop(Announcement announcement, Responder responder) {
        Optional<Member> owner = mFleet.findOwner(announcement.id(), announcement.zone());
        if (owner.isEmpty()) {
            responder.sendError(ErrorKind.NOT_READY, "no instance can own the backend server", 500);
            return;
        }
        if (mStopping || !owner.get().id().equals(mFleet.selfId())) {
            redirect(announcement, owner.get(), responder);
            return;
        }
        OwnedBackend backend =
                mBackends.computeIfAbsent(announcement.id(), id -> createBackend(announcement));
        HandoverMessage handover = mEarlyHandovers.getIfPresent(announcement.id());
        if (handover != null) {
            mEarlyHandovers.invalidate(announcement.id());
            backend.post(new AdmissionEvent.HandoverReceived(handover));
        }
        AdmissionOutput.Acknowledge acknowledge = backend.handleAnnouncement(announcement);
        if (backend.isOwner()) {
            // Not published before the lease begins: requests sent here would be refused.
            publish(backend);
            mListener.onOwnershipRenewed(announcement, leaseEndNanos(announcement));
        }
        sendAcknowledgement(backend, acknowledge, responder);
    }

    /**
     * Subtracts the maximum network delay of the announcement, because the lease runs from the time
     * at which the server sent it.
     */
    private long leaseEndNanos(Announcement announcement) {
        AdmissionSettings.Lease lease = mPolicy.settings(announcement).lease();
        return mLoop.nowNanos() + lease.durationNanos() - lease.maxFlightNanos();
    }

    private OwnedBackend createBackend(Announcement first) {
        OwnedBackend backend =
                OwnedBackend.create(
                        this,
                        mLoop,
                        mFleet.selfId(),
                        mOwnerEpoch,
                        mStartNanos,
                        mPolicy.settings(first),
                        first);
        if (!mPolicy.isZoneInService(first.zone())) {
            backend.post(new AdmissionEvent.ZoneEvacuated());
        }
        return backend;
    }

    private void redirect(Announcement announcement, Member owner, Responder responder) {
        OwnedBackend backend = mBackends.get(announcement.id());
        if (backend != null) {
            // The lease must end before the server learns the next owner, or both could admit.
            backend.post(new AdmissionEvent.HandoverOrdered(owner.id()));
            removeIfIdle(backend);
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("owner", owner.id().value());
        json.put("owner_address", owner.info().forwardAddress());
        responder.sendJson(STATUS_REDIRECT, json.toString());
    }

    private void sendAcknowledgement(
            OwnedBackend backend, AdmissionOutput.Acknowledge acknowledge, Responder responder) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("owner", mFleet.selfId().value());
        json.put("owner_address", mFleet.selfInfo().forwardAddress());
        long leaseNanos = mPolicy.settings(backend.lastAnnouncement()).lease().durationNanos();
        json.put("lease_ms", TimeUnit.NANOSECONDS.toMillis(leaseNanos));
        if (acknowledge != null) {
            ObjectNode ack = json.putObject("ack");
            ack.put("sequence", acknowledge.sequence());
            ack.put("owner_epoch", acknowledge.ownerEpoch());
            ack.put("owner_nanos", acknowledge.ownerNanos());
        }
        responder.sendJson(STATUS_OK, json.toString());
    }

    private void publish(OwnedBackend backend) {
        mFleet.handleEvent(
                new MembershipInput.BackendAnnounced(
                        backend.lastAnnouncement().toDirectoryEntry(mFleet.selfId()),
                        backend.assignedRequests()));
        mFleet.meanInFlight(backend.lastAnnouncement().service())
                .ifPresent(mean -> backend.post(new AdmissionEvent.LoadSummary(mean, 0)));
    }

    /**
     * The load of one owned backend server.
     *
     * @param queued requests in its admission queue
     * @param inFlight dispatched requests that are not finished
     * @param limit maximum number of requests in flight
     */
    public record BackendLoad(int queued, int inFlight, int limit) {}

    /**
     * Returns the load of the owned backend servers, updated every {@value #PERIODIC_UPDATE_MILLIS}
     * ms. Safe for use from any thread.
     */
    public Map<BackendId, BackendLoad> backendLoads() {
        return mBackendLoads;
    }

    private void updateBackendLoads() {
        Map<BackendId, BackendLoad> loads = new LinkedHashMap<>();
        mBackends.forEach(
                (id, backend) ->
                        loads.put(
                                id,
                                new BackendLoad(
                                        backend.admission().queueLength(),
                                        backend.admission().inFlight(),
                                        backend.admission().limit())));
        mBackendLoads = Map.copyOf(loads);
    }

    /** Updates the published loads and removes idle servers without recent announcements. */
    private void runPeriodicUpdate() {
        updateBackendLoads();
        long nowNanos = mLoop.nowNanos();
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            if (nowNanos - backend.lastAnnouncementNanos() < SILENCE_TIMEOUT_NANOS
                    || !backend.isIdle()) {
                continue;
            }
            if (isListedOwner(backend.lastAnnouncement().id())) {
                mFleet.handleEvent(
                        new MembershipInput.BackendGone(backend.lastAnnouncement().id()));
            }
            remove(backend);
        }
    }

    /**
     * Returns whether the directory lists this instance as owner of a server. If it lists another
     * one, missing announcements here do not mean that the server has stopped.
     */
    private boolean isListedOwner(BackendId id) {
        return mFleet.view()
                .backend(id)
                .filter(entry -> entry.owner().equals(mFleet.selfId()))
                .isPresent();
    }

    private void removeIfIdle(OwnedBackend backend) {
        if (backend.isIdle()) {
            remove(backend);
        }
    }

    private void remove(OwnedBackend backend) {
        mBackends.remove(backend.lastAnnouncement().id());
        backend.stop();
    }

    /**
     * Handles the event that a server cleared its cache; ignored if the server is not owned. Safe
     * for use from any thread.
     *
     * @param backend the server
     * @param incarnation incarnation of the server that reported the event
     */
    public void onCacheCleared(BackendId backend, long incarnation) {
        mLoop.execute(
                () -> {
                    OwnedBackend owned = mBackends.get(backend);
                    if (owned != null) {
                        owned.post(new AdmissionEvent.CacheCleared(incarnation));
                    }
                });
    }

    /**
     * Runs a request on an owned backend server. If this instance does not own the server, the
     * attempt is refused with {@link ErrorKind#NOT_OWNER}. Safe for use from any thread.
     *
     * @param metadata forwarding metadata of the request
     * @param call the caller's request
     * @param listener notified about the progress of the attempt
     * @return the attempt
     */
    public RunningAttempt run(ForwardingMetadata metadata, HttpCall call, AnswerListener listener) {
        DeferredAttempt attempt = new DeferredAttempt();
        mLoop.execute(
                () -> {
                    OwnedBackend backend = mBackends.get(metadata.backend());
                    if (backend == null || !backend.isOwner()) {
                        listener.onRefused(ErrorKind.NOT_OWNER, 0);
                        return;
                    }
                    OwnedRequest request = new OwnedRequest(metadata, call, listener, backend);
                    attempt.setAttempt(request);
                    backend.submit(request);
                });
        return attempt;
    }

    /**
     * Handles the handover message of the previous owner of a server. It is cached if the server
     * has not announced itself to this instance yet.
     *
     * @param message the message
     */
    public void onHandover(HandoverMessage message) {
        OwnedBackend backend = mBackends.get(message.backend());
        if (backend == null) {
            mEarlyHandovers.put(message.backend(), message);
            return;
        }
        backend.post(new AdmissionEvent.HandoverReceived(message));
    }

    /** Applies the settings and zones of a new configuration to all owned servers. */
    public void onConfigurationChanged() {
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            Announcement last = backend.lastAnnouncement();
            backend.post(new AdmissionEvent.SettingsChanged(mPolicy.settings(last)));
            boolean inService = mPolicy.isZoneInService(last.zone());
            backend.post(
                    inService
                            ? new AdmissionEvent.ZoneRestored()
                            : new AdmissionEvent.ZoneEvacuated());
        }
    }

    /**
     * Stops admitting requests and hands all servers over to their next owners. Requests in flight
     * continue.
     */
    public void handOverAll() {
        mStopping = true;
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            Optional<Member> next =
                    mFleet.findNextOwner(
                            backend.lastAnnouncement().id(), backend.lastAnnouncement().zone());
            next.ifPresent(member -> backend.post(new AdmissionEvent.HandoverOrdered(member.id())));
        }
    }

    /** Returns the number of requests that this instance dispatched and that are not finished. */
    public int inFlight() {
        int sum = 0;
        for (OwnedBackend backend : mBackends.values()) {
            sum += backend.admission().inFlight();
        }
        return sum;
    }

    Collection<OwnedBackend> backends() {
        return List.copyOf(mBackends.values());
    }

    HttpClient clientFor(RequestKind kind) {
        return kind.isIdempotent() ? mClient : mCommandClient;
    }

    void sendHandover(HandoverMessage message) {
        mFleet.sendHandover(message);
    }

    void onOwnershipChanged(OwnedBackend backend, boolean owner) {
        BackendId id = backend.lastAnnouncement().id();
        LogEvent event = owner ? LogEvent.BACKEND_OWNED : LogEvent.BACKEND_RELEASED;
        if (!owner) {
            mListener.onOwnershipLost(id);
        }
        mLog.log(event, "backend server %s at %s", id, backend.lastAnnouncement().address());
    }

    void log(LogEvent event, String format, Object... args) {
        mLog.log(event, format, args);
    }

    /** Returns the id of this instance. */
    public InstanceId self() {
        return mFleet.selfId();
    }
}
