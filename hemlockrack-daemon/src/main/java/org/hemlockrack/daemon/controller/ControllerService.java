package org.hemlockrack.daemon.controller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.MoveEvaluator;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.control.MoveStatus;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TableHistory;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.daemon.gateway.ProtocolAdapter;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.sync.ConfirmedTime;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.dispatch.PrefixDirectory;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.FleetLimit;
import org.hemlockrack.limits.PermitKeeper;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.PermitReply;
import org.hemlockrack.wire.PermitRequest;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.RequestCountData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/**
 * Operations of a controller for operators, backend servers and gateways. Thread-safe. The future
 * of a refused operation completes exceptionally with a {@link HemlockrackException}.
 */
public final class ControllerService implements ControllerLink.Delegate {
    /**
     * Operators ask another controller after a few seconds, so a proposal must time out earlier.
     */
    private static final long PROPOSE_TIMEOUT_MILLIS = 2_500;

    /** Recent prefix uses that are retained for gateways; at 400 new uses a second this is 10 s. */
    private static final int MAX_PREFIX_USES = 4_096;

    private final EventLoop mLoop;
    private final String mSelf;
    private final ProtocolAdapter mProtocol;
    private final Proposer mProposer;
    private final ReplicaService mReplica;
    private final Function<InstanceId, String> mPeerAddresses;
    private final TableHistory mTables;
    private final DecisionLog mLog;
    private final long mRegistryEpoch;
    private final ServerRegistry mRegistry = ServerRegistry.create();
    private final PrefixDirectory mPrefixes = PrefixDirectory.create();
    private final PagedLog<PrefixUseData> mPrefixUses = PagedLog.of(MAX_PREFIX_USES);
    private long mSavedUsesEnd;
    private final GatewayReports mGatewayReports = new GatewayReports();
    private final ControllerQuarantine mQuarantine;
    private final PermitKeeper mPermits;
    private final LeaderTasks mLeaderTasks;
    private final SeatHandover mHandover;
    private volatile ControlView mView = ControlView.EMPTY;
    private volatile boolean mHasCommittedView;

    /**
     * The settled term of the log that the view was read from, until committed state is published.
     */
    private volatile long mDurableTerm;

    private final TableReplies mTableReplies;
    private final ConfirmedTime mConfirmed = ConfirmedTime.unknown();
    private final LeaderConfirmation mConfirmation;
    private final ConfirmedReads mReads;
    private volatile @Nullable DutyService mDuties;

    ControllerService(
            EventLoop loop,
            InstanceId self,
            ProtocolAdapter protocol,
            Proposer proposer,
            ReplicaService replica,
            int toleratedLosses,
            boolean isFirstStart,
            Function<InstanceId, String> peerAddresses,
            TableHistory tables,
            DecisionLog log,
            long registryEpoch) {
        mLoop = loop;
        mSelf = self.value();
        mProtocol = protocol;
        mProposer = proposer;
        mReplica = replica;
        mPeerAddresses = peerAddresses;
        mTables = tables;
        mTableReplies = TableReplies.of(tables, () -> replica.role() == Role.LEADER);
        mLog = log;
        mRegistryEpoch = registryEpoch;
        mPermits =
                isFirstStart
                        ? PermitKeeper.createFull(loop.nowNanos())
                        : PermitKeeper.createEmpty(loop.nowNanos());
        mQuarantine = ControllerQuarantine.create(loop.nowNanos(), this::hasHeartbeatSince, log);
        mLeaderTasks = LeaderTasks.create(loop, self, replica, toleratedLosses, log);
        mConfirmation = LeaderConfirmation.create(loop, replica, this::recordConfirmed);
        mReads = ConfirmedReads.create(loop, self, replica, mConfirmed, this::committedView);
        mHandover = SeatHandover.create(self, peerAddresses.apply(self), replica, mLeaderTasks);
    }

    /** Lets duties learn what confirms the leadership. Called before the ports open. */
    void enableDuties(DutyService duties) {
        mDuties = duties;
    }

    /** Records a message of the replica of another controller. */
    void noteMessage(InstanceId controller) {
        mLeaderTasks.noteMessage(mLoop.nowNanos(), controller);
    }

    /** Returns the handover of the seat of this controller at a planned stop. */
    SeatHandover handover() {
        return mHandover;
    }

    /** Returns the prompt parts that are held back. */
    public ControllerQuarantine quarantine() {
        return mQuarantine;
    }

    private synchronized boolean hasHeartbeatSince(
            BackendId id, long startMillis, long sinceNanos) {
        RegisteredServer server = mRegistry.find(id);
        return server != null
                && server.registration().startMillis() == startMillis
                && server.receivedNanos() - sinceNanos > 0;
    }

    /** Publishes a view of the committed state. Called on the loop of the log. */
    void publishCommitted(ControlState state) {
        boolean first = !mHasCommittedView;
        synchronized (this) {
            ControlView view = mView;
            mHasCommittedView = true;
            mDurableTerm = 0;
            if (!first && state.revision() == view.revision()) {
                return;
            }
            mView = ControlView.of(state);
        }
        mTables.recordCommitted(state);
        RoutingOverrides overrides = state.overrides();
        mLog.instanceEvent("control_state")
                .put("revision", state.revision())
                .put("table", state.tableVersion())
                .put("evacuated", overrides.evacuatedZones().size())
                .put("moves", overrides.moves().size())
                .write();
    }

    /**
     * Publishes a view of the state on the local disk until committed state is published. Called
     * once, at the start.
     *
     * @param state the state after all commands on the disk, committed or not
     * @param settledTerm the current term, if the log ends with an entry of it, otherwise 0
     */
    void publishDurable(ControlState state, long settledTerm) {
        synchronized (this) {
            if (!mHasCommittedView) {
                mView = ControlView.of(state);
                mDurableTerm = settledTerm;
            }
        }
        mLog.instanceEvent("durable_state")
                .put("revision", state.revision())
                .put("table", state.tableVersion())
                .write();
    }

    /**
     * Returns whether committed state was published and a leader is known. Whether the state is
     * current is stated by {@link #mConfirmed}.
     */
    private boolean isCaughtUp() {
        return mHasCommittedView && mReplica.leader() != null;
    }

    /**
     * Records a heartbeat of a backend server.
     *
     * @param registration the heartbeat
     * @return a future that completes once the heartbeat may be acknowledged; for a server that
     *     leaves, once the departure is durable
     */
    public CompletableFuture<Void> recordHeartbeat(Registration registration) {
        boolean isNew;
        synchronized (this) {
            isNew = mRegistry.find(registration.id()) == null;
            mRegistry.recordHeartbeat(mLoop.nowNanos(), registration, 0);
        }
        if (isNew || registration.leaving()) {
            mLog.instanceEvent(registration.leaving() ? "server_leaving" : "server_registered")
                    .put("server", registration.id().value())
                    .put("service", registration.service().value())
                    .put("zone", registration.zone().value())
                    .put("version", registration.softwareVersion())
                    .put("sequence", registration.sequence())
                    .put("cold_ms", registration.coldMillis())
                    .write();
        }
        if (!registration.leaving()) {
            return CompletableFuture.completedFuture(null);
        }
        return recordDeparture(registration.id(), registration.startMillis());
    }

    /**
     * Records that an incarnation of a backend server leaves.
     *
     * @param id its id
     * @param startMillis start of the incarnation
     * @return a future that completes once the departure is durable
     */
    public CompletableFuture<Void> recordDeparture(BackendId id, long startMillis) {
        String description = "server_departed " + id;
        // Before the first publication the view may hold entries of the disk without a majority.
        if (mHasCommittedView && mView.overrides().hasDeparted(id, startMillis)) {
            return acknowledgeCommitted(description);
        }
        return propose(description, ControlCommand.recordDeparture(id, startMillis));
    }

    /**
     * Records that a backend server leaves which does not state its incarnation: the one that is
     * registered now, unless the caller has left. A caller that has left may have been answered by
     * another controller long ago, and a new incarnation may be registered since.
     *
     * @param id its id
     * @param caller the caller
     * @return a future that completes once the departure is durable
     */
    public CompletableFuture<Void> recordDeparture(BackendId id, Responder caller) {
        long startMillis = incarnationStartMillis(id);
        return caller.checkConnected()
                .thenCompose(
                        connected -> {
                            if (!connected) {
                                throw OrderFailures.callerLeft();
                            }
                            return recordDeparture(id, startMillis);
                        });
    }

    /**
     * Returns the start of the registered incarnation of a server. For an unknown server this is
     * the current time, because its incarnation must have started before.
     */
    private synchronized long incarnationStartMillis(BackendId id) {
        RegisteredServer known = mRegistry.find(id);
        return known == null ? System.currentTimeMillis() : known.registration().startMillis();
    }

    /**
     * Publishes a route table.
     *
     * @param document the table as the operator sent it
     * @return a future that completes once a table of this or a higher version is durable
     * @throws HemlockrackException with {@link ErrorKind#CONFIG_INVALID} if it is not valid
     */
    public CompletableFuture<Void> publishTable(byte[] document) {
        RouteTable table = mProtocol.parseRouteTable(document);
        String description = "table " + table.version();
        if (mHasCommittedView && table.version() <= mView.tableVersion()) {
            return acknowledgeCommitted(description);
        }
        return propose(
                description,
                ControlCommand.publishTable(table.version(), Deflate.deflate(document)));
    }

    /** Returns the reads of the committed state. */
    public ConfirmedReads reads() {
        return mReads;
    }

    /**
     * Returns the newest view if it is of committed state. The first one replaces a view of the
     * disk, whose entries may not be committed, under the lock.
     */
    private synchronized @Nullable ControlView committedView() {
        return mHasCommittedView ? mView : null;
    }

    /**
     * Evacuates a zone or puts it back into service.
     *
     * @param zone the zone
     * @param evacuated true if the backend servers of the zone are to get no requests
     * @param caller the operator
     * @return a future that completes once the order is durable
     */
    public CompletableFuture<Void> setZoneEvacuated(
            ZoneId zone, boolean evacuated, Responder caller) {
        return order(
                (evacuated ? "evacuate " : "restore ") + zone,
                caller,
                revision -> ControlCommand.setZoneEvacuated(zone, evacuated, revision));
    }

    /**
     * Starts to move the traffic of a service to one software version, beginning with a canary
     * share.
     *
     * @param service the service
     * @param target the software version that is to receive the traffic
     * @param durationMillis time in which the move must complete
     * @param caller the operator
     * @return a future that completes once the order is durable
     */
    public CompletableFuture<Void> startMove(
            ServiceId service, String target, long durationMillis, Responder caller) {
        TrafficMove move =
                new TrafficMove(
                        service,
                        target,
                        MoveStatus.IN_PROGRESS,
                        MoveEvaluator.CANARY_PER_MILLE,
                        0,
                        durationMillis);
        return order(
                "move " + service + " to " + target + " in " + durationMillis + " ms",
                caller,
                revision -> ControlCommand.startMove(move, revision));
    }

    /** Acknowledges an order whose effect is in the committed state already. */
    private CompletableFuture<Void> acknowledgeCommitted(String description) {
        ControlView view = mView;
        mLog.instanceEvent("order")
                .put("order", description)
                .put("outcome", "already_committed")
                .put("revision", view.revision())
                .put("table", view.tableVersion())
                .write();
        return CompletableFuture.completedFuture(null);
    }

    private CompletableFuture<Void> propose(String description, byte[] command) {
        long startNanos = mLoop.nowNanos();
        return mProposer
                .propose(command, PROPOSE_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome -> {
                            boolean committed =
                                    outcome.status() == ProposalStatus.APPLIED
                                            && outcome.result() != null
                                            && ControlState.isSuccess(outcome.result());
                            logOrder(
                                    description,
                                    committed ? "committed" : outcome.status().name(),
                                    startNanos);
                            if (!committed) {
                                throw OrderFailures.noQuorum(outcome.status().name());
                            }
                        });
    }

    /** Proposes an order that a later one can undo; see {@link PendingOrder}. */
    private CompletableFuture<Void> order(
            String description, Responder caller, LongFunction<byte[]> command) {
        long startNanos = mLoop.nowNanos();
        return PendingOrder.propose(
                        mLoop,
                        mProposer,
                        this::committedRevision,
                        caller::checkConnected,
                        command,
                        PROPOSE_TIMEOUT_MILLIS)
                .thenAccept(
                        result -> {
                            String outcome = result.name().toLowerCase(Locale.ROOT);
                            logOrder(description, outcome, startNanos);
                            switch (result) {
                                case COMMITTED -> {}
                                case CALLER_LEFT -> throw OrderFailures.callerLeft();
                                default -> throw OrderFailures.noQuorum(result.name());
                            }
                        });
    }

    /** Returns the newest revision that is known to be committed, 0 if none is. */
    private synchronized long committedRevision() {
        return mHasCommittedView ? mView.revision() : 0;
    }

    private void logOrder(String description, String outcome, long startNanos) {
        mLog.instanceEvent("order")
                .put("order", description)
                .put("outcome", outcome)
                .put("elapsed_ms", TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - startNanos))
                .write();
    }

    /**
     * Exchanges state with a gateway or another controller.
     *
     * @param request the versions that the sender has, and its reports
     * @return the state that the sender lacks
     */
    SyncReply sync(SyncRequest request) {
        SyncReply reply = new SyncReply();
        mConfirmed.describe(reply, mLoop.nowNanos());
        // Read before the view, which is committed if this is true.
        reply.setCaughtUp(isCaughtUp());
        ControlView view = mView;
        reply.setRevision(view.revision());
        reply.setTableVersion(view.tableVersion());
        if (view.revision() > request.getHaveRevision()) {
            reply.setFacts(view.overrides().toData());
        }
        if (view.tableVersion() > request.getHaveTableVersion()) {
            reply.setTableDocument(ByteBuffer.wrap(view.deflatedTable()));
        }
        reply.setControllers(controllerAddresses());
        reply.setVoters(mReplica.isVoter() ? mReplica.membership().voters().size() : 0);
        listTables(request, reply);
        mTableReplies.bound(mLoop.nowNanos(), request, reply);
        boolean sameEpoch = request.getRegistryEpoch() == mRegistryEpoch;
        // The quarantine asks this object about servers, so its lock is taken first.
        mQuarantine.record(mLoop.nowNanos(), request);
        reply.setQuarantine(
                mQuarantine.changesSince(
                        mLoop.nowNanos(), sameEpoch ? request.getQuarantineRevision() : 0));
        synchronized (this) {
            long nowNanos = mLoop.nowNanos();
            if (request.isGateway()) {
                mGatewayReports.recordReport(nowNanos, request);
                recordRequests(nowNanos, request);
            } else {
                mLeaderTasks.noteRequest(nowNanos, request);
            }
            exchangePrefixUses(nowNanos, sameEpoch, request, reply);
            mGatewayReports.exchangeObservations(nowNanos, sameEpoch, request, reply);
            long haveRevision = sameEpoch ? request.getRegistryRevision() : 0;
            reply.setRegistryEpoch(mRegistryEpoch);
            reply.setRegistryRevision(mRegistry.revision());
            reply.setServers(mRegistry.changesSince(nowNanos, haveRevision));
            reply.setGateways(mGatewayReports.gatewayCount(nowNanos));
            reply.setFleetInFlight(
                    request.isGateway() ? mGatewayReports.fleetInFlight(nowNanos) : List.of());
            if (request.isGateway() && request.isWantsUsages()) {
                mGatewayReports.describeUsages(nowNanos, reply);
            }
        }
        return reply;
    }

    /**
     * Reports the tables of the local log, committed or not. Whoever has the reports of a majority
     * of the voters knows of every acknowledged table, also while there is no leader.
     */
    private void listTables(SyncRequest request, SyncReply reply) {
        if (reply.getVoters() == 0 || !request.isSetListTablesAbove()) {
            return;
        }
        mTableReplies.list(request, reply);
        // Read after the tables: those that were listed are durable if the term is settled now.
        long settledTerm = mReplica.settledTerm();
        if (settledTerm > 0) {
            reply.setSettledTerm(settledTerm);
        }
        if (!reply.isCaughtUp() && settledTerm > 0 && settledTerm == mDurableTerm) {
            reply.setSettledRevision(reply.getRevision());
        }
    }

    /** Returns the number of replies that left out tables because others were on their way. */
    long deferredTables() {
        return mTableReplies.deferred();
    }

    private void recordRequests(long nowNanos, SyncRequest request) {
        for (RequestCountData count : request.getRequests()) {
            mPermits.recordRequests(
                    nowNanos, request.getSender(), count.getLimitName(), count.getRequests());
        }
    }

    /** Grants a gateway permits of a limit that all gateways share. */
    synchronized PermitReply acquirePermits(PermitRequest request) {
        FleetLimit limit =
                new FleetLimit(
                        request.getSlack(),
                        request.getRatio(),
                        TimeUnit.MILLISECONDS.toNanos(request.getWindowMillis()));
        int granted =
                mPermits.grant(
                        mLoop.nowNanos(),
                        request.getLimitName(),
                        limit,
                        request.getWanted(),
                        Math.max(1, mReplica.membership().members().size()));
        return new PermitReply(granted, TimeUnit.NANOSECONDS.toMillis(PermitKeeper.LIFETIME_NANOS));
    }

    /** Restores prefix uses that were saved before a restart. */
    synchronized void restorePrefixUses(List<PrefixUseData> uses) {
        long nowNanos = mLoop.nowNanos();
        for (PrefixUseData use : uses) {
            mPrefixes.recordUse(nowNanos, use.getPrefixHash(), BackendId.of(use.getServer()));
            mPrefixUses.add(use);
        }
        mSavedUsesEnd = mPrefixUses.endPosition();
    }

    /** Saves the prefix uses if any were added since the last save. */
    void savePrefixUses(PrefixFile file) {
        List<PrefixUseData> uses;
        synchronized (this) {
            if (mPrefixUses.endPosition() == mSavedUsesEnd) {
                return;
            }
            mSavedUsesEnd = mPrefixUses.endPosition();
            uses = mPrefixes.allUses();
        }
        file.save(uses);
    }

    private void exchangePrefixUses(
            long nowNanos, boolean sameEpoch, SyncRequest request, SyncReply reply) {
        for (PrefixUseData use : request.getPrefixUses()) {
            BackendId server = BackendId.of(use.getServer());
            if (mPrefixes.recordUse(nowNanos, use.getPrefixHash(), server)) {
                mPrefixUses.add(use);
            }
        }
        boolean wanted = request.getPrefixPosition() >= 0;
        long position = sameEpoch ? request.getPrefixPosition() : 0;
        PagedLog.Page<PrefixUseData> page =
                wanted
                        ? mPrefixUses.readFrom(position, ControllerLink.MAX_PREFIX_USES)
                        : PagedLog.Page.empty();
        reply.setPrefixUses(page.entries());
        reply.setPrefixPosition(page.next());
    }

    private List<String> controllerAddresses() {
        List<String> peers = new ArrayList<>();
        for (Member member : mReplica.membership().members()) {
            peers.add(mPeerAddresses.apply(member.replica().instance()));
        }
        return peers;
    }

    @Override
    public SyncRequest createRequest(String address, Map<BackendId, Integer> ownLoad) {
        SyncRequest request = new SyncRequest();
        request.setSender(mSelf);
        request.setGateway(false);
        request.setHaveRevision(Long.MAX_VALUE);
        request.setHaveTableVersion(Long.MAX_VALUE);
        request.setInFlight(List.of());
        request.setCounts(List.of());
        request.setRequests(List.of());
        request.setLeaving(mHandover.isLeaving());
        return request;
    }

    @Override
    public int controllersWithoutState() {
        return mHasCommittedView ? 0 : mReplica.membership().members().size();
    }

    @Override
    public Map<BackendId, Integer> ownLoad() {
        return Map.of();
    }

    @Override
    public void onReply(
            String address,
            SyncReply reply,
            Map<BackendId, Integer> ownLoadAtRequest,
            long requestNanos) {
        mHandover.recordReply(address, reply);
        DutyService duties = mDuties;
        if (duties != null) {
            duties.recordClock(address, reply, requestNanos);
        }
        if (reply.isSetQuarantine()) {
            mQuarantine.adopt(mLoop.nowNanos(), reply.getQuarantine().getVerdicts(), address);
        }
        synchronized (this) {
            mRegistry.mergeAll(mLoop.nowNanos(), reply.getServers());
        }
        ControlView view = committedView();
        if (view != null && view.revision() >= reply.getRevision()) {
            mConfirmed.record(reply, requestNanos);
        }
        mReads.updateSoon();
    }

    /** Returns the servers that run and do not leave. */
    synchronized List<Registration> runningServers() {
        return mRegistry.runningServers();
    }

    private void recordConfirmed(long requestNanos, long requestWallMillis) {
        if (!mHasCommittedView) {
            return;
        }
        mConfirmed.record(requestNanos);
        mReads.updateSoon();
        DutyService duties = mDuties;
        if (duties != null) {
            duties.recordConfirmation(requestNanos, requestWallMillis);
        }
    }

    private synchronized Map<String, VersionAnswers> answersByVersion(ServiceId service) {
        return mGatewayReports.answersByVersion(service);
    }

    /**
     * Removes servers whose heartbeats have stopped and, on the leader, runs the tasks of the
     * leader. Called on the loop.
     */
    void runMaintenance() {
        int gateways;
        synchronized (this) {
            gateways = mGatewayReports.gatewayCount(mLoop.nowNanos());
            for (RegisteredServer server : mRegistry.removeExpired(mLoop.nowNanos())) {
                mLog.instanceEvent("server_expired")
                        .put("server", server.registration().id().value())
                        .write();
            }
        }
        mQuarantine.setGatewayCount(gateways);
        mQuarantine.evaluate(mLoop.nowNanos());
        if (mReplica.role() == Role.LEADER) {
            mConfirmation.request();
        }
        mLeaderTasks.run(mView.overrides(), this::answersByVersion);
    }
}
