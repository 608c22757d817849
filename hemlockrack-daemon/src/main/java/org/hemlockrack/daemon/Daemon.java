package org.hemlockrack.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
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
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.entry.ClaimService;
import org.hemlockrack.daemon.entry.EntryService;
import org.hemlockrack.daemon.fleet.Fleet;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.operator.ConfigCommands;
import org.hemlockrack.daemon.operator.OperatorPort;
import org.hemlockrack.daemon.operator.PlatformPages;
import org.hemlockrack.daemon.owner.ForwardedExchange;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.VoterState;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;

/** One running instance: all its services, wired together. */
public final class Daemon implements AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long UPSTREAM_IDLE_MILLIS = 120_000;
    private static final long SNAPSHOT_ENTRIES = 10_000;
    private static final long NOT_PUBLISHED = -1;
    private static final long STATE_MILLIS = 100;
    private static final long DRAIN_POLL_MILLIS = 20;

    /** After readiness has ended, the balancer may send requests for this long. */
    private static final long SETTLE_MILLIS = 1_000;

    /** Until others know that this instance left, they forward requests, which it must refuse. */
    private static final long LEAVE_MILLIS = 1_000;

    private final Settings mSettings;
    private final EventLog mLog = EventLog.create();
    private final Closer mCloser = Closer.create();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Loop mLoop;
    private final Loop mLogLoop;
    private final SecureRandom mRandom = new SecureRandom();

    private @Nullable ReplicaService mReplica;
    private @Nullable VoterState mVoterState;
    private PeerNetwork mNetwork;
    private Fleet mFleet;
    private ConfigService mConfig;
    private OwnerService mOwner;
    private EntryService mEntry;
    private ClaimService mClaims;
    private Proposer mProposer;
    private HttpPort mCallerPort;
    private HttpPort mOperatorPort;
    private volatile boolean mDraining;
    private volatile boolean mReady;

    private Daemon(Settings settings) {
        mSettings = settings;
        mLoop = Loop.open("core", this::fault);
        mLogLoop = Loop.open("log", this::fault);
    }

    /**
     * Starts an instance.
     *
     * @param settings checked settings
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

    private void fault(Throwable cause) {
        mLog.log(LogEvent.INTERNAL_FAULT, cause, "%s", cause);
    }

    private <T extends Closeable> T closing(T resource) {
        return mCloser.register(resource);
    }

    private void start() {
        closing(mLogLoop::close);
        closing(mLoop::close);
        mNetwork =
                PeerNetwork.create(mSettings.instanceId(), mSettings.routes(), this::unreachable);
        closing(mNetwork::close);
        onLoop(this::startFleet);
        startReplica();
        onLoop(this::startServices);
        startPorts();
        mLoop.repeat(STATE_MILLIS, this::refreshState);
        mLog.log(
                LogEvent.DAEMON_STARTED,
                "instance %s zone %s callers %s operators %s",
                mSettings.instanceId(),
                mSettings.zone(),
                mCallerPort.address(),
                mOperatorPort.address());
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
        ControlBudget budget =
                ControlBudget.of(
                        mSettings.integer(SettingKey.CONTROL_BUDGET_BYTES_PER_S), nowNanos);
        Membership membership =
                Membership.create(
                        new MembershipSettings(
                                self,
                                System.currentTimeMillis(),
                                mSettings.list(SettingKey.PEERS_SEEDS)),
                        budget,
                        new SplittableRandom(mRandom.nextLong()),
                        nowNanos);
        mFleet = Fleet.create(mLoop, self, membership, mNetwork);
        mConfig = ConfigService.create(mLoop, mFleet, mNetwork, mLog);
    }

    private void startReplica() {
        Path folder = mSettings.dataFolder();
        boolean listed = mSettings.voters().containsKey(mSettings.instanceId());
        if (folder == null || !listed) {
            return;
        }
        LogStore store = openStore(folder);
        VoterState state = VoterState.create(mLogLoop);
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(
                                mSettings.instanceId(), List.copyOf(mSettings.voters().keySet())),
                        store,
                        state.replicated(),
                        SNAPSHOT_ENTRIES,
                        new SplittableRandom(mRandom.nextLong()),
                        mLogLoop.nowNanos());
        AtomicLong published = new AtomicLong(NOT_PUBLISHED);
        mVoterState = state;
        mReplica =
                ReplicaService.start(
                        mLogLoop,
                        store.recovered().meta().replicaId(),
                        node,
                        this::send,
                        mLog,
                        () -> publish(state, published));
        closing(mReplica::close);
    }

    private LogStore openStore(Path folder) {
        try {
            return LogStore.open(folder, mRandom);
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.STORAGE_DAMAGED) {
                throw e;
            }
            mLog.log(LogEvent.STORAGE_REFUSED, "%s: %s", folder, e.getMessage());
            mLog.log(LogEvent.REPLICA_REJOINED, "%s starts as a new replica", folder);
            return LogStore.openDamaged(folder, mRandom);
        }
    }

    private void publish(VoterState state, AtomicLong published) {
        long version = state.configVersion();
        if (version == published.get()) {
            return;
        }
        published.set(version);
        var configuration = state.configuration();
        mLoop.execute(() -> mConfig.offer(version, configuration));
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

    private void unreachable(String address, Exception cause) {
        mLoop.execute(
                () -> {
                    Optional<InstanceId> peer = peerAt(address);
                    peer.ifPresent(id -> mFleet.post(new MembershipInput.PeerFailed(id)));
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
        HttpClient client = HttpClient.open(2, CONNECT_TIMEOUT_MILLIS, UPSTREAM_IDLE_MILLIS, true);
        closing(client::close);
        HttpClient commandClient =
                HttpClient.open(1, CONNECT_TIMEOUT_MILLIS, UPSTREAM_IDLE_MILLIS, false);
        closing(commandClient::close);
        mProposer = Proposer.create(mLoop, mFleet.self(), mSettings.voters(), mNetwork, mReplica);
        long epoch = mRandom.nextLong() >>> 1;
        mOwner =
                OwnerService.create(
                        mLoop,
                        mFleet,
                        new ConfigPolicy(mConfig),
                        client,
                        commandClient,
                        mLog,
                        epoch);
        AttemptSource source =
                AttemptSource.of(
                        mFleet.self(),
                        AttemptSource.incarnation(System.currentTimeMillis(), mRandom));
        mClaims = ClaimService.create(mLoop, mFleet, mNetwork, mProposer, source);
        mEntry =
                EntryService.create(
                        mLoop,
                        mFleet,
                        mOwner,
                        client,
                        commandClient,
                        mClaims,
                        mLog,
                        mFleet.self() + "-" + Long.toString(epoch, Character.MAX_RADIX) + "-");
        mConfig.onChange(this::configured);
        configured(mConfig.current());
        mFleet.onView(this::viewChanged);
    }

    private void configured(ConfigService.Current current) {
        var limits = current.configuration().limits();
        mClaims.configure(limits.requestMillis(), limits.claimAnswerBytes());
        mEntry.configure(current.configuration());
        mOwner.configurationChanged();
        refreshState();
    }

    private void viewChanged(MembershipView view) {
        mEntry.refreshCandidates(view);
    }

    private void refreshState() {
        mReady |= mConfig.settled();
        mEntry.setReady(mReady);
        boolean draining = mDraining || mConfig.current().configuration().drains(mFleet.self());
        Member self = mFleet.view().members().get(mFleet.self());
        boolean current =
                self != null
                        && self.ready() == mReady
                        && self.draining() == draining
                        && self.configVersion() == mConfig.current().version();
        if (!current) {
            mFleet.post(
                    new MembershipInput.SelfChanged(mReady, draining, mConfig.current().version()));
        }
    }

    private void startPorts() {
        PlatformPages pages = PlatformPages.create(this::ready, mMetrics);
        registerGauges();
        mCallerPort =
                openPort(
                        "callers",
                        SettingKey.LISTEN_CALLERS,
                        mSettings.callerLimits(),
                        (call, responder) -> {
                            if (pages.handles(call.path())) {
                                pages.handle(call, responder);
                                return;
                            }
                            mEntry.handle(call, responder);
                        });
        openPort("internal", SettingKey.LISTEN_INTERNAL, HttpLimits.internal(), this::internalCall);
        ConfigCommands.HistorySource history = mVoterState == null ? new NoHistory() : mVoterState;
        ConfigCommands commands = ConfigCommands.create(mLoop, mFleet, mConfig, mProposer, history);
        mOperatorPort =
                openPort(
                        "operators",
                        SettingKey.LISTEN_OPERATORS,
                        HttpLimits.internal(),
                        OperatorPort.create(mFleet, mConfig, mProposer, commands, pages));
        PeerServer peers =
                PeerServer.open(
                        mSettings.address(SettingKey.LISTEN_PEER),
                        new PeerHandler(mLoop, mFleet, mConfig, mOwner, mClaims, mReplica, mLog));
        closing(peers::close);
    }

    private void registerGauges() {
        mMetrics.register("hemlockrack_open_requests", (Gauge<Integer>) () -> mEntry.open());
        mMetrics.register(
                "hemlockrack_config_version", (Gauge<Long>) () -> mConfig.current().version());
    }

    private HttpPort openPort(String name, SettingKey key, HttpLimits limits, CallHandler handler) {
        HttpPort port = HttpPort.open(name, mSettings.address(key), limits, handler);
        closing(port::close);
        return port;
    }

    private void internalCall(HttpCall call, Responder responder) {
        if (call.path().equals("/backend/v1/announce")) {
            mOwner.announce(call, responder);
            return;
        }
        ForwardedExchange.run(mOwner, call, responder);
    }

    /** Answers on instances that do not hold the log. */
    private static final class NoHistory implements ConfigCommands.HistorySource {
        @Override
        public @Nullable String historyJson() {
            return null;
        }

        @Override
        public Optional<ConfigCommands.DryRunResult> dryRun(ConfigCommand command) {
            return Optional.empty();
        }
    }

    /** Returns whether the instance takes work. */
    public boolean ready() {
        return mReady && !mDraining;
    }

    /** Returns the address that callers use. */
    public InetSocketAddress callerAddress() {
        return mCallerPort.address();
    }

    /**
     * Stops gracefully: ends readiness, hands owned backend servers over, waits for all requests,
     * then closes everything.
     */
    public void shutDown() {
        mLog.log(LogEvent.DAEMON_STOPPING, "instance %s", mSettings.instanceId());
        mDraining = true;
        onLoop(
                () -> {
                    refreshState();
                    mOwner.stopAdmitting();
                });
        long endNanos =
                mLoop.nowNanos()
                        + TimeUnit.MILLISECONDS.toNanos(
                                mSettings.integer(SettingKey.SHUTDOWN_DRAIN_TIMEOUT_MS));
        pause(SETTLE_MILLIS);
        int left = openRequests();
        while (left > 0 && mLoop.nowNanos() - endNanos < 0) {
            pause(DRAIN_POLL_MILLIS);
            left = openRequests();
        }
        if (left > 0) {
            mLog.log(LogEvent.DRAIN_TIMED_OUT, "%d requests were cut", left);
        }
        onLoop(() -> mFleet.post(new MembershipInput.Leave()));
        pause(LEAVE_MILLIS);
        close();
        mLog.log(LogEvent.DAEMON_STOPPED, "instance %s", mSettings.instanceId());
    }

    private int openRequests() {
        List<Integer> counts = new ArrayList<>();
        onLoop(() -> counts.add(mEntry.open() + mOwner.inFlight()));
        return counts.get(0);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        try {
            mCloser.close();
        } catch (IOException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "closing failed", e);
        }
    }
}
