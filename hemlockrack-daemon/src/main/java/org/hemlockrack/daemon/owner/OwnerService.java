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
import org.hemlockrack.daemon.fleet.Fleet;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ZoneId;

/** The backend servers that this instance owns. Confined to the loop except where stated. */
public final class OwnerService {
    /** A server that has not announced itself for this long is reported gone. */
    private static final long GONE_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

    private static final long SWEEP_MILLIS = 500;
    private static final int MAX_EARLY_HANDOVERS = 256;
    private static final int STATUS_REDIRECT = 307;
    private static final int STATUS_OK = 200;

    /** Decides about settings and zones; implemented over the configuration in force. */
    public interface Policy {
        /**
         * Returns the admission settings of a backend server.
         *
         * @param announcement what the server said about itself
         * @return the settings
         */
        AdmissionSettings settings(Announcement announcement);

        /**
         * Returns whether a zone may take new work.
         *
         * @param zone the zone
         * @return false while operators have taken it out
         */
        boolean takesWork(ZoneId zone);
    }

    /** Learns which servers this instance may give orders to. */
    public interface OwnershipListener {
        /**
         * The right to a server was renewed.
         *
         * @param announcement the server
         * @param leaseEndNanos monotonic time at which the right ends
         */
        void onOwnershipRenewed(Announcement announcement, long leaseEndNanos);

        /**
         * The right to a server ended.
         *
         * @param backend the server
         */
        void onOwnershipLost(BackendId backend);
    }

    private final Loop mLoop;
    private final Fleet mFleet;
    private final Policy mPolicy;
    private OwnershipListener mListener = new NoListener();
    private final HttpClient mClient;
    private final HttpClient mCommandClient;
    private final EventLog mLog;
    private final long mOwnerEpoch;
    private final long mStartNanos;
    private final Map<BackendId, OwnedBackend> mBackends = new LinkedHashMap<>();

    /** Handovers that arrived before the first announcement of their server. */
    private final Cache<BackendId, HandoverMessage> mHandovers =
            CacheBuilder.newBuilder()
                    .maximumSize(MAX_EARLY_HANDOVERS)
                    .expireAfterWrite(Duration.ofSeconds(10))
                    .build();

    private volatile Map<BackendId, BackendLoad> mWork = Map.of();
    private boolean mStopping;

    private OwnerService(
            Loop loop,
            Fleet fleet,
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
     * @param policy settings by configuration
     * @param client client for idempotent requests
     * @param commandClient client that opens a connection for each request, for non-idempotent ones
     * @param log the log
     * @param ownerEpoch differs between any two processes of this instance
     * @return the service
     */
    public static OwnerService create(
            Loop loop,
            Fleet fleet,
            Policy policy,
            HttpClient client,
            HttpClient commandClient,
            EventLog log,
            long ownerEpoch) {
        OwnerService service =
                new OwnerService(loop, fleet, policy, client, commandClient, log, ownerEpoch);
        loop.repeat(SWEEP_MILLIS, service::sweep);
        return service;
    }

    /** Stands in until a listener is set. */
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
     * Answers an announcement. Safe for use from any thread.
     *
     * @param call the announcement
     * @param responder takes the answer
     */
    public void handleAnnouncement(HttpCall call, Responder responder) {
        Announcement announcement;
        try {
            announcement = Announcement.parse(call.body());
        } catch (HemlockrackException e) {
            responder.sendError(e.kind(), e.getMessage(), 0);
            return;
        }
        mLoop.execute(() -> announceOnLoop(announcement, responder));
    }

    private void announceOnLoop(Announcement announcement, Responder responder) {
        Optional<Member> owner = mFleet.owner(announcement.id(), announcement.zone());
        if (owner.isEmpty()) {
            responder.sendError(ErrorKind.NOT_READY, "no instance can own the backend server", 500);
            return;
        }
        if (mStopping || !owner.get().id().equals(mFleet.self())) {
            redirect(announcement, owner.get(), responder);
            return;
        }
        OwnedBackend backend =
                mBackends.computeIfAbsent(announcement.id(), id -> open(announcement));
        HandoverMessage handover = mHandovers.getIfPresent(announcement.id());
        if (handover != null) {
            mHandovers.invalidate(announcement.id());
            backend.post(new AdmissionEvent.HandoverReceived(handover));
        }
        AdmissionOutput.Acknowledge acknowledge = backend.announced(announcement);
        if (backend.isOwner()) {
            // Published earlier, the server would attract requests that must still be refused.
            publish(backend);
            mListener.onOwnershipRenewed(announcement, leaseEndNanos(announcement));
        }
        answer(backend, acknowledge, responder);
    }

    /**
     * Counts the longest flight of the announcement against the lease, to stay on the safe side.
     */
    private long leaseEndNanos(Announcement announcement) {
        AdmissionSettings.Lease lease = mPolicy.settings(announcement).lease();
        return mLoop.nowNanos() + lease.durationNanos() - lease.maxFlightNanos();
    }

    private OwnedBackend open(Announcement first) {
        OwnedBackend backend =
                OwnedBackend.create(
                        this,
                        mLoop,
                        mFleet.self(),
                        mOwnerEpoch,
                        mStartNanos,
                        mPolicy.settings(first),
                        first);
        if (!mPolicy.takesWork(first.zone())) {
            backend.post(new AdmissionEvent.ZoneEvacuated());
        }
        return backend;
    }

    private void redirect(Announcement announcement, Member owner, Responder responder) {
        OwnedBackend backend = mBackends.get(announcement.id());
        if (backend != null) {
            // The lease must end before the server is told to turn to the next owner.
            backend.post(new AdmissionEvent.HandoverOrdered(owner.id()));
            dropIfIdle(backend);
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("owner", owner.id().value());
        json.put("owner_address", owner.info().forwardAddress());
        responder.sendJson(STATUS_REDIRECT, json.toString());
    }

    private void answer(
            OwnedBackend backend, AdmissionOutput.Acknowledge acknowledge, Responder responder) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("owner", mFleet.self().value());
        json.put("owner_address", mFleet.selfInfo().forwardAddress());
        long leaseNanos = mPolicy.settings(backend.last()).lease().durationNanos();
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
        mFleet.post(
                new MembershipInput.BackendAnnounced(
                        backend.last().toDirectoryEntry(mFleet.self()), backend.assignedWork()));
        mFleet.meanInFlight(backend.last().service())
                .ifPresent(mean -> backend.post(new AdmissionEvent.LoadSummary(mean, 0)));
    }

    /**
     * The work of one owned backend server.
     *
     * @param queued requests that wait
     * @param inFlight requests it works on
     * @param limit most requests it may work on
     */
    public record BackendLoad(int queued, int inFlight, int limit) {}

    /** Returns the work of the owned backend servers as of the last sweep, from any thread. */
    public Map<BackendId, BackendLoad> backendLoads() {
        return mWork;
    }

    private void noteWork() {
        Map<BackendId, BackendLoad> work = new LinkedHashMap<>();
        mBackends.forEach(
                (id, backend) ->
                        work.put(
                                id,
                                new BackendLoad(
                                        backend.admission().queueLength(),
                                        backend.admission().inFlight(),
                                        backend.admission().limit())));
        mWork = Map.copyOf(work);
    }

    private void sweep() {
        noteWork();
        long nowNanos = mLoop.nowNanos();
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            if (nowNanos - backend.lastNanos() < GONE_AFTER_NANOS || !backend.isIdle()) {
                continue;
            }
            if (isListedOwner(backend.last().id())) {
                mFleet.post(new MembershipInput.BackendGone(backend.last().id()));
            }
            drop(backend);
        }
    }

    /** Another instance may own the server by now; then its silence here means nothing. */
    private boolean isListedOwner(BackendId id) {
        return mFleet.view()
                .backend(id)
                .filter(entry -> entry.owner().equals(mFleet.self()))
                .isPresent();
    }

    private void dropIfIdle(OwnedBackend backend) {
        if (backend.isIdle()) {
            drop(backend);
        }
    }

    private void drop(OwnedBackend backend) {
        mBackends.remove(backend.last().id());
        backend.stop();
    }

    /**
     * Takes a cache event of an owned server. Safe for use from any thread.
     *
     * @param backend the server
     * @param incarnation its incarnation
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
     * Runs a request on an owned backend server. Safe for use from any thread.
     *
     * @param order what to run and how
     * @param call the caller's request
     * @param listener follows the attempt
     * @return the attempt
     */
    public RunningAttempt run(ForwardingMetadata order, HttpCall call, AnswerListener listener) {
        DeferredAttempt attempt = new DeferredAttempt();
        mLoop.execute(
                () -> {
                    OwnedBackend backend = mBackends.get(order.backend());
                    if (backend == null || !backend.isOwner()) {
                        listener.onRefused(ErrorKind.NOT_OWNER, 0);
                        return;
                    }
                    OwnedRequest request = new OwnedRequest(order, call, listener, backend);
                    attempt.set(request);
                    backend.arrived(request);
                });
        return attempt;
    }

    /**
     * Takes the handover of an earlier owner.
     *
     * @param message its message
     */
    public void onHandover(HandoverMessage message) {
        OwnedBackend backend = mBackends.get(message.backend());
        if (backend == null) {
            mHandovers.put(message.backend(), message);
            return;
        }
        backend.post(new AdmissionEvent.HandoverReceived(message));
    }

    /** Applies changed settings and zones to all owned servers. */
    public void onConfigurationChanged() {
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            Announcement last = backend.last();
            backend.post(new AdmissionEvent.SettingsChanged(mPolicy.settings(last)));
            boolean in = mPolicy.takesWork(last.zone());
            backend.post(
                    in ? new AdmissionEvent.ZoneRestored() : new AdmissionEvent.ZoneEvacuated());
        }
    }

    /** Hands all servers over to their next owners; work in flight goes on. */
    public void handOverAll() {
        mStopping = true;
        for (OwnedBackend backend : new ArrayList<>(mBackends.values())) {
            Optional<Member> next = mFleet.nextOwner(backend.last().id(), backend.last().zone());
            next.ifPresent(member -> backend.post(new AdmissionEvent.HandoverOrdered(member.id())));
        }
    }

    /** Returns the number of requests dispatched by this instance and not finished. */
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

    HttpClient client(RequestKind kind) {
        return kind.isIdempotent() ? mClient : mCommandClient;
    }

    void handover(HandoverMessage message) {
        mFleet.sendHandover(message);
    }

    void ownershipChanged(OwnedBackend backend, boolean owner) {
        BackendId id = backend.last().id();
        LogEvent event = owner ? LogEvent.BACKEND_OWNED : LogEvent.BACKEND_RELEASED;
        if (!owner) {
            mListener.onOwnershipLost(id);
        }
        mLog.log(event, "backend server %s at %s", id, backend.last().address());
    }

    void log(LogEvent event, String format, Object... args) {
        mLog.log(event, format, args);
    }

    /** Returns this instance's id, for answers. */
    public InstanceId self() {
        return mFleet.self();
    }
}
