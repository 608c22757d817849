package org.hemlockrack.daemon;

import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.burn.BurnService;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.entry.ClaimService;
import org.hemlockrack.daemon.entry.EntryService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.fleet.SilentPeerLog;
import org.hemlockrack.daemon.fleet.ZoneReachabilityLogger;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MemoryReport;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.operator.ConfigCommands;
import org.hemlockrack.daemon.operator.HealthEndpoints;
import org.hemlockrack.daemon.operator.OperatorPort;
import org.hemlockrack.daemon.operator.RolloutCommands;
import org.hemlockrack.daemon.operator.VoterAddresses;
import org.hemlockrack.daemon.operator.VoterCommands;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.daemon.replica.ConfigEndpoint;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.ReplicaStorage;
import org.hemlockrack.daemon.replica.ReplicaStorageLog;
import org.hemlockrack.daemon.replica.VoterState;
import org.hemlockrack.daemon.rollout.OrderService;
import org.hemlockrack.daemon.rollout.RolloutControllerService;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.daemon.settings.DescriptorShare;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.tls.MutualTlsStrategy;
import org.hemlockrack.daemon.tls.PemFiles;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;

/** One running instance: creates, connects and closes all its services. */
public final class Daemon implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long UPSTREAM_IDLE_TIMEOUT_MILLIS = 120_000;
    private static final long SNAPSHOT_INTERVAL_ENTRIES = 10_000;
    private static final long NOT_PUBLISHED = -1;
    private static final long STATE_REFRESH_MILLIS = 100;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time for which the load balancer may still send requests after readiness has ended. */
    private static final long BALANCER_DELAY_MILLIS = 1_000;

    /**
     * Time after which a stopping instance takes no more connections while requests are open. Load
     * balancers that check less often than once a second have noticed by then.
     */
    private static final long LISTENER_CLOSE_MILLIS = 2_600;

    /** Time in which a caller whose connection was just accepted sends its request. */
    private static final long ACCEPTED_GRACE_MILLIS = 300;

    /**
     * Part of the drain timeout that is reserved for the errors of requests that are still open,
     * for the leave, and for closing the ports.
     */
    private static final long STOP_MARGIN_MILLIS = 2_400;

    /** Time for gossip to spread the leave; requests that others forward until then are refused. */
    private static final long LEAVE_PROPAGATION_MILLIS = 1_000;

    private final Settings mSettings;
    private final RequestMemory mRequestMemory;
    private final EventLog mLog = EventLog.create();
    private final Closer mCloser = Closer.create();
    private final Metrics mMetrics = Metrics.create();
    private final EventLoop mLoop;
    private final EventLoop mLogLoop;
    private final EventLoop mBurnFileLoop;
    private final SecureRandom mRandom = new SecureRandom();

    private @Nullable TlsKeys mTls;
    private @Nullable ReplicaService mReplica;
    private @Nullable VoterState mVoterState;
    private PeerNetwork mNetwork;

    /**
     * Confined to the loop, except that metrics read possibly outdated counters on other threads.
     */
    private ControlBudget mBudget;

    private Membership mMembership;
    private volatile long mGossipPeriodNanos;
    private FleetMembership mFleet;
    private ConfigService mConfig;
    private OwnerService mOwner;
    private EntryService mEntry;
    private ClaimService mClaims;
    private RolloutService mRollouts;
    private OrderService mOrders;
    private BurnService mBurn;
    private volatile @Nullable RolloutControllerService mRolloutController;
    private Proposer mProposer;
    private HttpPort mCallerPort;
    private HttpPort mInternalPort;
    private HttpPort mOperatorPort;
    private long mPublishedRolloutRevision;
    private volatile boolean mServicesStarted;
    private volatile boolean mDraining;
    private volatile boolean mReady;

    private Daemon(Settings settings) {
        mSettings = settings;
        mRequestMemory = settings.requestMemory();
        mLoop = EventLoop.open("core", this::logInternalError);
        mLogLoop = EventLoop.open("log", this::logInternalError);
        mBurnFileLoop = EventLoop.open("burn-file", this::logInternalError);
    }

    /**
     * Starts an instance.
     *
     * @param settings validated settings
     * @return the running instance
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if a port or folder
     *     cannot be used
     */
    public static Daemon open(Settings settings) {
        Daemon daemon = new Daemon(settings);
        try {
            daemon.start();
            return daemon;
        } catch (RuntimeException e) {
            daemon.close();
            throw e;
        }
    }

    private void logInternalError(Throwable cause) {
        mLog.log(LogEvent.INTERNAL_FAULT, cause, "%s", cause);
    }

    private <T extends Closeable> T registerCloseable(T resource) {
        return mCloser.register(resource);
    }

    private void start() {
        registerCloseable(mLogLoop::close);
        registerCloseable(mBurnFileLoop::close);
        registerCloseable(mLoop::close);
        mTls = openTls();
        mNetwork =
                PeerNetwork.create(
                        mSettings.instanceId(),
                        mSettings.peerAddressOverrides(),
                        mTls,
                        SilentPeerLog.create(mLog, this::onPeerUnreachable));
        registerCloseable(mNetwork::close);
        onLoop(this::startFleet);
        startReplica();
        onLoop(this::startServices);
        startPorts();
        mLoop.scheduleWithFixedDelay(STATE_REFRESH_MILLIS, this::refreshState);
        MemoryReport report = MemoryReport.of(mRequestMemory);
        mLoop.scheduleWithFixedDelay(MemoryReport.PERIOD_MILLIS, () -> report.writeTo(mLog));
        mLog.log(
                LogEvent.DAEMON_STARTED,
                "instance %s zone %s callers %s operators %s",
                mSettings.instanceId(),
                mSettings.zone(),
                mCallerPort.address(),
                mOperatorPort.address());
    }

    private @Nullable TlsKeys openTls() {
        PemFiles files = mSettings.tlsFiles();
        if (files == null) {
            mLog.log(LogEvent.TLS_OFF, "tls.mode is off");
            return null;
        }
        TlsKeys keys = TlsKeys.open(files, mLog);
        registerCloseable(keys::close);
        return keys;
    }

    private @Nullable TlsStrategy tlsStrategy() {
        return mTls == null ? null : MutualTlsStrategy.of(mTls);
    }

    private HttpClient openClient(int ioThreads, boolean reuse, @Nullable TlsStrategy tls) {
        HttpClient client =
                HttpClient.open(
                        ioThreads,
                        CONNECT_TIMEOUT_MILLIS,
                        UPSTREAM_IDLE_TIMEOUT_MILLIS,
                        reuse,
                        tls);
        registerCloseable(client::close);
        return client;
    }

    private void onLoop(Runnable task) {
        mLoop.submit(
                        () -> {
                            task.run();
                            return true;
                        })
                .join();
    }

    private void startFleet() {
        InstanceInfo self =
                new InstanceInfo(
                        mSettings.instanceId(),
                        mSettings.zone(),
                        mSettings.text(SettingKey.INSTANCE_REGION),
                        mSettings.text(SettingKey.LISTEN_PEER),
                        mSettings.text(SettingKey.LISTEN_INTERNAL));
        long nowNanos = mLoop.nowNanos();
        mBudget =
                ControlBudget.of(
                        mSettings.integer(SettingKey.CONTROL_BUDGET_BYTES_PER_S), nowNanos);
        Membership membership =
                Membership.create(
                        new MembershipSettings(
                                self,
                                System.currentTimeMillis(),
                                mSettings.list(SettingKey.PEERS_SEEDS)),
                        mBudget,
                        new SplittableRandom(mRandom.nextLong()),
                        nowNanos);
        mMembership = membership;
        mFleet = FleetMembership.create(mLoop, self, membership, mNetwork);
        mConfig = ConfigService.create(mLoop, mFleet, mNetwork, mSettings.voters().keySet(), mLog);
    }

    private void startReplica() {
        Path folder = mSettings.dataFolder();
        boolean listed = mSettings.voters().containsKey(mSettings.instanceId());
        if (folder == null || !listed) {
            return;
        }
        VoterState state = VoterState.create(mLogLoop);
        ReplicaStorage storage =
                ReplicaStorage.of(
                        folder,
                        mRandom,
                        UnaryOperator.identity(),
                        ReplicaStorageLog.of(mLog, folder));
        ReplicaNode node = storage.start(store -> startNode(store, state));
        AtomicLong publishedVersion = new AtomicLong(NOT_PUBLISHED);
        mVoterState = state;
        mReplica =
                ReplicaService.start(
                        mLogLoop,
                        node,
                        failed -> storage.reopen(store -> resumeNode(store, failed)),
                        this::send,
                        mLog,
                        () -> onStateChanged(state, publishedVersion));
        registerCloseable(mReplica::close);
    }

    private ConsensusSettings consensusSettings() {
        return ConsensusSettings.of(
                mSettings.instanceId(), List.copyOf(mSettings.voters().keySet()));
    }

    private ReplicaNode startNode(LogStore store, VoterState state) {
        return ReplicaNode.start(
                consensusSettings(),
                store,
                state.replicatedState(),
                SNAPSHOT_INTERVAL_ENTRIES,
                new SplittableRandom(mRandom.nextLong()),
                mLogLoop.nowNanos());
    }

    private ReplicaNode resumeNode(LogStore store, ReplicaNode failed) {
        return ReplicaNode.resume(
                consensusSettings(),
                store,
                failed,
                new SplittableRandom(mRandom.nextLong()),
                mLogLoop.nowNanos());
    }

    private void onStateChanged(VoterState state, AtomicLong publishedVersion) {
        publishConfig(state, publishedVersion);
        if (mServicesStarted) {
            publishRollouts(state);
        }
    }

    private void publishConfig(VoterState state, AtomicLong publishedVersion) {
        long version = state.configVersion();
        if (version == publishedVersion.get()) {
            return;
        }
        publishedVersion.set(version);
        var configuration = state.configuration();
        mLoop.execute(() -> mConfig.acceptIfNewer(version, configuration));
    }

    /**
     * Notifies the roll-out controller, and hands the roll-outs to the core loop if they changed.
     * Called on the loop of the log.
     */
    private void publishRollouts(VoterState state) {
        List<Rollout> rollouts = state.rollouts().current();
        long revision = rollouts.stream().mapToLong(Rollout::revision).max().orElse(0);
        RolloutControllerService controller = mRolloutController;
        if (controller != null) {
            controller.onStateChanged();
        }
        if (revision == mPublishedRolloutRevision) {
            return;
        }
        mPublishedRolloutRevision = revision;
        mLoop.execute(() -> mRollouts.mergeRollouts(rollouts));
    }

    private void send(Packet packet) {
        String address = mSettings.voters().get(packet.to().instance());
        if (address != null) {
            mNetwork.send(
                    address,
                    packet.to().instance().value(),
                    Slice.CONSENSUS,
                    ConsensusCodec.encode(packet));
        }
    }

    private void onPeerUnreachable(String address, Exception cause) {
        mLoop.execute(
                () -> {
                    Optional<InstanceId> peer = peerAt(address);
                    peer.ifPresent(id -> mFleet.handleEvent(new MembershipInput.PeerFailed(id)));
                    mLog.log(LogEvent.PEER_UNREACHABLE, "%s: %s", address, cause.getMessage());
                });
    }

    private Optional<InstanceId> peerAt(String address) {
        for (Member member : mFleet.view().members().values()) {
            if (member.info().peerAddress().equals(address)) {
                return Optional.of(member.id());
            }
        }
        return Optional.empty();
    }

    private void startServices() {
        HttpClient client = openClient(2, true, null);
        HttpClient commandClient = openClient(1, false, null);
        TlsStrategy tls = tlsStrategy();
        HttpClient forwarding = tls == null ? client : openClient(2, true, tls);
        HttpClient commandForwarding = tls == null ? commandClient : openClient(1, false, tls);
        mProposer = Proposer.create(mLoop, mFleet.selfId(), mSettings::voters, mNetwork, mReplica);
        long epoch = mRandom.nextLong() >>> 1;
        mOwner =
                OwnerService.create(
                        mLoop,
                        mFleet,
                        new ConfiguredAdmissionPolicy(mConfig),
                        client,
                        commandClient,
                        mLog,
                        epoch);
        AttemptSource attemptSource =
                AttemptSource.of(
                        mFleet.selfId(),
                        AttemptSource.newIncarnation(System.currentTimeMillis(), mRandom));
        mClaims = ClaimService.create(mLoop, mFleet, mNetwork, mProposer, attemptSource);
        long startMillis = System.currentTimeMillis();
        mRollouts =
                RolloutService.create(
                        mLoop,
                        mFleet,
                        mNetwork,
                        mProposer,
                        mLog,
                        startMillis,
                        () -> mEntry.refreshCandidates(mFleet.view()));
        mOrders =
                OrderService.create(mLoop, mNetwork, mProposer, mSettings.voters(), commandClient);
        mOwner.setListener(new OrderLeaseForwarder(mLoop, mOrders));
        mBurn = createBurnService();
        mEntry =
                EntryService.create(
                        mLoop,
                        mFleet,
                        mOwner,
                        forwarding,
                        commandForwarding,
                        mClaims,
                        mRollouts,
                        new RequestStatsRecorder(mFleet, mRollouts, mBurn),
                        mLog,
                        mMetrics,
                        mFleet.selfId() + "-" + Long.toString(epoch, Character.MAX_RADIX) + "-");
        mConfig.addListener(this::onConfiguration);
        onConfiguration(mConfig.current());
        mFleet.addViewListener(this::onViewChanged);
        mFleet.addViewListener(ZoneReachabilityLogger.of(mLog));
        startRolloutController();
    }

    private BurnService createBurnService() {
        return BurnService.create(
                mLoop, mFleet, mNetwork, mConfig, mLog, mSettings.burnFile(), mBurnFileLoop);
    }

    private void startRolloutController() {
        ReplicaService replica = mReplica;
        VoterState state = mVoterState;
        mServicesStarted = true;
        if (replica == null || state == null) {
            return;
        }
        mLogLoop.execute(
                () ->
                        mRolloutController =
                                RolloutControllerService.create(
                                        mLogLoop,
                                        mFleet,
                                        mNetwork,
                                        replica,
                                        state.rollouts(),
                                        new SplittableRandom(mRandom.nextLong())));
        mLogLoop.execute(() -> publishRollouts(state));
    }

    private void onConfiguration(ConfigService.VersionedConfig current) {
        var limits = current.configuration().limits();
        mClaims.configure(limits.requestTimeoutMillis(), limits.maxClaimAnswerBytes());
        mEntry.configure(current.configuration());
        mOwner.onConfigurationChanged();
        refreshState();
    }

    private void onViewChanged(MembershipView view) {
        mEntry.refreshCandidates(view);
    }

    /** Publishes readiness, draining and the configuration version by gossip if they changed. */
    private void refreshState() {
        mGossipPeriodNanos = mMembership.gossipPeriodNanos();
        mReady |= mConfig.isUpToDate();
        mEntry.setReady(mReady);
        boolean draining =
                mDraining || mConfig.current().configuration().isDraining(mFleet.selfId());
        Member self = mFleet.view().members().get(mFleet.selfId());
        boolean isPublished =
                self != null
                        && self.ready() == mReady
                        && self.draining() == draining
                        && self.configVersion() == mConfig.current().version();
        if (!isPublished) {
            mFleet.handleEvent(
                    new MembershipInput.SelfChanged(mReady, draining, mConfig.current().version()));
        }
    }

    private void startPorts() {
        HealthEndpoints endpoints = HealthEndpoints.create(this::isReady, mMetrics);
        registerGauges();
        mCallerPort =
                openPort(
                        "callers",
                        SettingKey.LISTEN_CALLERS,
                        mSettings.callerLimits(),
                        DescriptorShare.CALLERS,
                        null,
                        (call, responder) -> {
                            if (endpoints.handles(call.path())) {
                                endpoints.handle(call, responder);
                                return;
                            }
                            mEntry.handle(call, responder);
                        });
        mInternalPort =
                openPort(
                        "internal",
                        SettingKey.LISTEN_INTERNAL,
                        HttpLimits.internal(),
                        DescriptorShare.INTERNAL,
                        tlsStrategy(),
                        new InternalHandler(mLoop, mOwner, mEntry));
        ConfigCommands.ConfigStateReader stateReader =
                mVoterState == null ? new EmptyConfigState() : mVoterState;
        VoterAddresses voterAddresses = VoterAddresses.of(mSettings.voters());
        VoterCommands voterCommands = VoterCommands.create(mLoop, mReplica, voterAddresses);
        ConfigCommands configCommands =
                ConfigCommands.create(
                        mLoop, mFleet, mConfig, mProposer, stateReader, voterAddresses);
        mOperatorPort =
                openPort(
                        "operators",
                        SettingKey.LISTEN_OPERATORS,
                        HttpLimits.internal(),
                        DescriptorShare.OPERATORS,
                        null,
                        OperatorPort.create(
                                mFleet,
                                mConfig,
                                mProposer,
                                configCommands,
                                voterCommands,
                                RolloutCommands.create(mProposer, mRollouts),
                                mBurn,
                                endpoints));
        openPeerServer();
    }

    private void openPeerServer() {
        PeerServer peerServer =
                PeerServer.open(
                        mSettings.address(SettingKey.LISTEN_PEER),
                        mSettings.descriptors(DescriptorShare.PEERS),
                        new PeerHandler(
                                mLoop,
                                mFleet,
                                mConfig,
                                mOwner,
                                mClaims,
                                mReplica,
                                ConfigEndpoint.of(mReplica, mVoterState),
                                new PeerHandler.RolloutServices(
                                        mRollouts, mOrders, () -> mRolloutController, mBurn),
                                mLog),
                        mTls);
        registerCloseable(peerServer::close);
    }

    private void registerGauges() {
        mMetrics.registerValue(MetricName.OPEN_REQUESTS, () -> mEntry.openRequestCount());
        mMetrics.registerValue(MetricName.CONFIG_VERSION, () -> mConfig.current().version());
        mMetrics.registerValue(MetricName.LEADER, () -> isLeader() ? 1 : 0);
        mMetrics.registerValue(MetricName.TERM, () -> mReplica == null ? 0 : mReplica.term());
        mMetrics.registerValue(
                MetricName.GOSSIP_PERIOD, () -> mGossipPeriodNanos / NANOS_PER_SECOND);
        mMetrics.registerRequestMemory(mRequestMemory);
        Gauges gauges = new Gauges(mMetrics);
        gauges.registerProcess();
        gauges.registerOwner(mOwner);
        gauges.registerControl(mBudget);
    }

    private boolean isLeader() {
        return mReplica != null && mReplica.role() == Role.LEADER;
    }

    private HttpPort openPort(
            String name,
            SettingKey key,
            HttpLimits limits,
            DescriptorShare descriptors,
            @Nullable TlsStrategy tls,
            CallHandler handler) {
        HttpPort port =
                HttpPort.open(
                        name,
                        mSettings.address(key),
                        limits.withinDescriptors(mSettings.descriptors(descriptors)),
                        mRequestMemory,
                        handler,
                        tls);
        registerCloseable(port::close);
        return port;
    }

    /** The configuration state of an instance that holds no replicated log. */
    private static final class EmptyConfigState implements ConfigCommands.ConfigStateReader {
        @Override
        public @Nullable String historyJson() {
            return null;
        }

        @Override
        public Optional<ConfigCommands.DryRunResult> dryRun(ConfigCommand command) {
            return Optional.empty();
        }
    }

    /** Returns whether the instance is ready for requests. */
    public boolean isReady() {
        return mReady && !mDraining;
    }

    /** Returns the address that callers use. */
    public InetSocketAddress callerAddress() {
        return mCallerPort.address();
    }

    /**
     * Stops gracefully: ends readiness, hands owned backend servers over to other instances and
     * waits for open requests. Those that are still open shortly before the drain timeout get an
     * error. Then the instance leaves the fleet and closes everything before the timeout.
     */
    public void shutDown() {
        mLog.log(LogEvent.DAEMON_STOPPING, "instance %s", mSettings.instanceId());
        long startNanos = mLoop.nowNanos();
        long timeoutMillis = mSettings.integer(SettingKey.SHUTDOWN_DRAIN_TIMEOUT_MS);
        long drainMillis = Math.max(0, timeoutMillis - STOP_MARGIN_MILLIS);
        long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(drainMillis);
        mDraining = true;
        onLoop(
                () -> {
                    refreshState();
                    mOwner.handOverAll();
                });
        GracefulShutdown.sleep(Math.min(BALANCER_DELAY_MILLIS, drainMillis));
        long listenerMillis = Math.min(LISTENER_CLOSE_MILLIS, drainMillis);
        GracefulShutdown.awaitDrained(
                this::openRequests, startNanos + TimeUnit.MILLISECONDS.toNanos(listenerMillis));
        mCallerPort.stopAccepting();
        GracefulShutdown.sleep(Math.min(ACCEPTED_GRACE_MILLIS, drainMillis));
        mCallerPort.closeIdleConnections();
        GracefulShutdown.awaitDrained(this::openRequests, endNanos);
        endOpenRequests();
        onLoop(() -> mFleet.handleEvent(new MembershipInput.Leave()));
        onLoop(mBurn::save);
        mOperatorPort.stopAccepting();
        mOperatorPort.closeIdleConnections();
        // Callers read their errors meanwhile.
        GracefulShutdown.sleep(LEAVE_PROPAGATION_MILLIS);
        mCallerPort.closeNow();
        mInternalPort.closeNow();
        close();
        mLog.log(LogEvent.DAEMON_STOPPED, "instance %s", mSettings.instanceId());
    }

    private void endOpenRequests() {
        List<Integer> counts = new ArrayList<>();
        onLoop(() -> counts.add(mEntry.endAll() + mOwner.inFlight()));
        int openCount = counts.get(0) + mCallerPort.refuseIncompleteRequests();
        if (openCount > 0) {
            mLog.log(LogEvent.DRAIN_TIMED_OUT, "%d requests were aborted", openCount);
        }
    }

    private int openRequests() {
        List<Integer> counts = new ArrayList<>();
        onLoop(() -> counts.add(mEntry.openRequestCount() + mOwner.inFlight()));
        // An exchange is open as well while its body arrives or its response is sent.
        return counts.get(0) + mCallerPort.openExchanges();
    }

    @Override
    public void close() {
        try {
            mCloser.close();
        } catch (IOException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot close all resources", e);
        }
    }
}
