package org.hemlockrack.daemon.controller;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
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
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.daemon.gateway.ProtocolAdapter;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.dispatch.PrefixDirectory;
import org.hemlockrack.dispatch.PrefixUseLog;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/**
 * What a controller does for operators, backend servers and gateways. Safe for use from any thread;
 * operations complete exceptionally with a {@link HemlockrackException} if they were refused.
 */
public final class ControllerService implements ControllerLink.Owner {
    /** Operators give up after a few seconds; then they ask another controller. */
    private static final long PROPOSE_MILLIS = 2_500;

    /** Prefix uses that a gateway can catch up on; at 400 news a second this is 10 s. */
    private static final int MAX_PREFIX_USES = 4_096;

    private final Loop mLoop;
    private final String mSelf;
    private final ProtocolAdapter mDialect;
    private final Proposer mProposer;
    private final ReplicaService mReplica;
    private final Function<InstanceId, String> mPeerAddresses;
    private final DecisionLog mLog;
    private final long mEpoch;
    private final ServerRegistry mRegistry = ServerRegistry.create();
    private final PrefixDirectory mPrefixes = PrefixDirectory.create();
    private final PrefixUseLog mUses = PrefixUseLog.of(MAX_PREFIX_USES);
    private long mSavedUses;
    private final GatewayReports mReports = new GatewayReports();
    private final LeaderDuties mDuties;
    private volatile ControlView mView = ControlView.EMPTY;
    private volatile boolean mPublished;

    ControllerService(
            Loop loop,
            InstanceId self,
            ProtocolAdapter dialect,
            Proposer proposer,
            ReplicaService replica,
            Function<InstanceId, String> peerAddresses,
            DecisionLog log,
            long epoch) {
        mLoop = loop;
        mSelf = self.value();
        mDialect = dialect;
        mProposer = proposer;
        mReplica = replica;
        mPeerAddresses = peerAddresses;
        mLog = log;
        mEpoch = epoch;
        mDuties = LeaderDuties.create(loop, self, replica, log);
    }

    /** Takes over what the log has committed. Called on the loop of the log. */
    void publish(ControlState state) {
        boolean first = !mPublished;
        synchronized (this) {
            ControlView view = mView;
            mPublished = true;
            if (!first && state.revision() == view.revision()) {
                return;
            }
            mView = viewOf(state);
        }
        RoutingOverrides facts = state.overrides();
        mLog.state("control_state")
                .put("revision", state.revision())
                .put("table", state.tableVersion())
                .put("evacuated", facts.evacuatedZones().size())
                .put("moves", facts.moves().size())
                .write();
    }

    private static ControlView viewOf(ControlState state) {
        return new ControlView(
                state.revision(), state.tableVersion(), state.tableDocument(), state.overrides());
    }

    /**
     * Shows the state on the local disk until the log has caught up. Called once, at the start.
     *
     * @param state what the disk holds, committed or not
     */
    void offerDurable(ControlState state) {
        synchronized (this) {
            if (!mPublished) {
                mView = viewOf(state);
            }
        }
    }

    /** Returns whether the state held here is as new as a controller can know without asking. */
    private boolean isCaughtUp() {
        return mPublished && mReplica.leader() != null;
    }

    /**
     * Notes a heartbeat of a backend server.
     *
     * @param registration the heartbeat
     * @return completes once it may be acknowledged; for a server that leaves, once the departure
     *     is durable
     */
    public CompletableFuture<Void> heartbeat(Registration registration) {
        boolean news;
        synchronized (this) {
            news = mRegistry.find(registration.id()) == null;
            mRegistry.recordHeartbeat(mLoop.nowNanos(), registration, 0);
        }
        if (news || registration.leaving()) {
            mLog.state(registration.leaving() ? "server_leaving" : "server_registered")
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
        return departed(registration.id(), registration.startMillis());
    }

    /**
     * Notes that a backend server leaves.
     *
     * @param id its id
     * @param bornMillis start of the incarnation, or null if it is not stated
     * @return completes once the departure is durable
     */
    public CompletableFuture<Void> departed(BackendId id, @Nullable Long bornMillis) {
        long born = bornMillis == null ? bornOf(id) : bornMillis;
        if (mView.overrides().hasDeparted(id, born)) {
            return CompletableFuture.completedFuture(null);
        }
        return propose("server_departed " + id, ControlCommand.recordDeparture(id, born));
    }

    /** An incarnation that is not known here has started before now. */
    private synchronized long bornOf(BackendId id) {
        RegisteredServer known = mRegistry.find(id);
        return known == null ? System.currentTimeMillis() : known.registration().startMillis();
    }

    /**
     * Publishes a route table.
     *
     * @param document the table as the operator sent it
     * @return completes once a table of this or a higher version is durable
     * @throws HemlockrackException with {@link ErrorKind#CONFIG_INVALID} if it is not valid
     */
    public CompletableFuture<Void> publishTable(byte[] document) {
        RouteTable table = mDialect.parseRouteTable(document);
        if (table.version() <= mView.tableVersion()) {
            return CompletableFuture.completedFuture(null);
        }
        return propose(
                "table " + table.version(),
                ControlCommand.publishTable(table.version(), Deflate.deflate(document)));
    }

    /**
     * Reads the newest route table. Only the leader can be sure which one that is.
     *
     * @return completes with the table as it was published
     */
    public CompletableFuture<byte[]> readTable() {
        return newest().thenApply(
                        view -> {
                            if (view.tableVersion() == 0) {
                                throw HemlockrackException.of(
                                        ErrorKind.NOT_READY, "no route table was published yet");
                            }
                            return Deflate.inflate(view.deflatedTable());
                        });
    }

    private CompletableFuture<ControlView> newest() {
        return mReplica.readIndex()
                .thenApply(
                        outcome -> {
                            if (outcome.status() != ProposalStatus.APPLIED) {
                                throw noQuorum(outcome);
                            }
                            return mView;
                        });
    }

    /**
     * Returns the instance that leads, if it is another one.
     *
     * @return its id, or null if this instance leads or no leader is known
     */
    public @Nullable InstanceId otherLeader() {
        InstanceId leader = mReplica.leader();
        return leader == null || leader.value().equals(mSelf) ? null : leader;
    }

    /**
     * Takes a zone out of service, or back.
     *
     * @param zone the zone
     * @param evacuated whether its backend servers get nothing
     * @return completes once the order is durable
     */
    public CompletableFuture<Void> setZone(ZoneId zone, boolean evacuated) {
        return propose(
                (evacuated ? "evacuate " : "restore ") + zone,
                ControlCommand.setZoneEvacuated(zone, evacuated));
    }

    /**
     * Orders a move of a service's traffic.
     *
     * @param service the service
     * @param target the software version
     * @param durationMillis time until it must be over
     * @return completes once the order is durable
     */
    public CompletableFuture<Void> startMove(
            ServiceId service, String target, long durationMillis) {
        TrafficMove order =
                new TrafficMove(
                        service,
                        target,
                        MoveStatus.IN_PROGRESS,
                        MoveEvaluator.CANARY_PER_MILLE,
                        0,
                        durationMillis);
        return propose(
                "move " + service + " to " + target + " in " + durationMillis + " ms",
                ControlCommand.startMove(order));
    }

    /**
     * Reads the newest move of a service. Only the leader can be sure which one that is.
     *
     * @param service the service
     * @return completes with the move, or null if there was none
     */
    public CompletableFuture<@Nullable TrafficMove> readMove(ServiceId service) {
        return newest().thenApply(view -> view.overrides().move(service));
    }

    private CompletableFuture<Void> propose(String what, byte[] command) {
        long startNanos = mLoop.nowNanos();
        return mProposer
                .propose(command, PROPOSE_MILLIS)
                .thenAccept(
                        outcome -> {
                            boolean done =
                                    outcome.status() == ProposalStatus.APPLIED
                                            && outcome.result() != null
                                            && ControlState.isSuccess(outcome.result());
                            mLog.state("order")
                                    .put("order", what)
                                    .put("outcome", done ? "committed" : outcome.status().name())
                                    .put(
                                            "elapsed_ms",
                                            TimeUnit.NANOSECONDS.toMillis(
                                                    mLoop.nowNanos() - startNanos))
                                    .write();
                            if (!done) {
                                throw noQuorum(outcome);
                            }
                        });
    }

    private static HemlockrackException noQuorum(ProposalOutcome outcome) {
        return HemlockrackException.of(
                ErrorKind.NO_QUORUM,
                "no majority of controllers confirmed the order: " + outcome.status());
    }

    /**
     * Answers a gateway or another controller.
     *
     * @param request what it has and reports
     * @return what it lacks
     */
    SyncReply sync(SyncRequest request) {
        ControlView view = mView;
        SyncReply reply = new SyncReply();
        reply.setCaughtUp(isCaughtUp());
        reply.setRevision(view.revision());
        reply.setTableVersion(view.tableVersion());
        if (view.revision() > request.getHaveRevision()) {
            reply.setFacts(view.overrides().toData());
        }
        if (view.tableVersion() > request.getHaveTableVersion()) {
            reply.setTableDocument(ByteBuffer.wrap(view.deflatedTable()));
        }
        reply.setControllers(controllers());
        reply.setVoters(mReplica.membership().voters().size());
        synchronized (this) {
            long nowNanos = mLoop.nowNanos();
            if (request.isGateway()) {
                mReports.note(nowNanos, request);
            } else {
                mDuties.controllerSeen(nowNanos, InstanceId.of(request.getSender()));
            }
            boolean known = request.getRegistryEpoch() == mEpoch;
            answerPrefixes(nowNanos, known, request, reply);
            long have = known ? request.getRegistryRevision() : 0;
            reply.setRegistryEpoch(mEpoch);
            reply.setRegistryRevision(mRegistry.revision());
            reply.setServers(mRegistry.changesSince(nowNanos, have));
            reply.setGateways(mReports.gateways(nowNanos));
            reply.setFleetInFlight(
                    request.isGateway() ? mReports.fleetInFlight(nowNanos) : List.of());
        }
        return reply;
    }

    /** Notes prefix uses from before a restart. */
    synchronized void learnPrefixes(List<PrefixUseData> uses) {
        long nowNanos = mLoop.nowNanos();
        for (PrefixUseData use : uses) {
            mPrefixes.recordUse(nowNanos, use.getPrefixHash(), BackendId.of(use.getServer()));
            mUses.add(use);
        }
        mSavedUses = mUses.endPosition();
    }

    /** Saves the prefix uses if there is news. */
    void savePrefixes(PrefixFile file) {
        List<PrefixUseData> uses;
        synchronized (this) {
            if (mUses.endPosition() == mSavedUses) {
                return;
            }
            mSavedUses = mUses.endPosition();
            uses = mPrefixes.allUses();
        }
        file.save(uses);
    }

    private void answerPrefixes(
            long nowNanos, boolean known, SyncRequest request, SyncReply reply) {
        for (PrefixUseData use : request.getPrefixUses()) {
            BackendId server = BackendId.of(use.getServer());
            if (mPrefixes.recordUse(nowNanos, use.getPrefixHash(), server)) {
                mUses.add(use);
            }
        }
        boolean wanted = request.getPrefixPosition() >= 0;
        long position = known ? request.getPrefixPosition() : 0;
        PrefixUseLog.Page page =
                wanted
                        ? mUses.readFrom(position, ControllerLink.MAX_USES)
                        : PrefixUseLog.Page.EMPTY;
        reply.setPrefixUses(page.uses());
        reply.setPrefixPosition(page.next());
    }

    private List<String> controllers() {
        List<String> peers = new ArrayList<>();
        for (Member member : mReplica.membership().members()) {
            peers.add(mPeerAddresses.apply(member.replica().instance()));
        }
        return peers;
    }

    @Override
    public SyncRequest request(String address, Map<BackendId, Integer> ownLoad) {
        SyncRequest request = new SyncRequest();
        request.setSender(mSelf);
        request.setGateway(false);
        request.setHaveRevision(Long.MAX_VALUE);
        request.setHaveTableVersion(Long.MAX_VALUE);
        request.setInFlight(List.of());
        request.setCounts(List.of());
        return request;
    }

    @Override
    public Map<BackendId, Integer> ownLoad() {
        return Map.of();
    }

    @Override
    public synchronized void replied(
            String address, SyncReply reply, Map<BackendId, Integer> ownAtRequest) {
        mRegistry.mergeAll(mLoop.nowNanos(), reply.getServers());
    }

    private synchronized Map<String, VersionAnswers> answers(ServiceId service) {
        return mReports.answers(service);
    }

    /** Drops silent servers and decides the next steps of moves. Called on the loop. */
    void maintain() {
        synchronized (this) {
            for (RegisteredServer server : mRegistry.removeExpired(mLoop.nowNanos())) {
                mLog.state("server_expired")
                        .put("server", server.registration().id().value())
                        .write();
            }
        }
        if (mReplica.role() == Role.LEADER) {
            mDuties.run(mView.overrides(), this::answers);
        }
    }
}
