package org.hemlockrack.daemon.controller;

import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogFormation;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.TableHistory;
import org.hemlockrack.daemon.GracefulShutdown;
import org.hemlockrack.daemon.ServiceProcess;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.fleet.SilentPeerLog;
import org.hemlockrack.daemon.gateway.ProtocolAdapter;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MemoryReport;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.operator.HealthEndpoints;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.ReplicaStorage;
import org.hemlockrack.daemon.settings.DescriptorShare;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.settings.SettingsReloader;
import org.hemlockrack.daemon.sync.ControllerLinks;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.AutoscaleSpec;
import org.hemlockrack.wire.Slice;
import org.jspecify.annotations.Nullable;

/** A running controller: its replica of the log, its ports and its links to other controllers. */
public final class ControllerInstance implements ServiceProcess.Instance, AutoCloseable {
    /** Committed commands between two snapshots; keeps the replay after a restart short. */
    private static final long SNAPSHOT_INTERVAL_ENTRIES = 400;

    /**
     * Period of {@link #runMaintenance}; traffic moves and the expiry of silent servers need no
     * finer resolution.
     */
    private static final long MAINTENANCE_PERIOD_MILLIS = 200;

    /** Time between two saves of the prefix uses; uses since the last save are lost at the exit. */
    private static final long PREFIX_SAVE_PERIOD_MILLIS = 2_000;

    /** Longest time that a planned stop waits until a learner has the seat of this controller. */
    private static final long HANDOVER_LIMIT_MILLIS = 2_000;

    private static final long HANDOVER_POLL_MILLIS = 20;

    /** Time between the end of new connections and the end of idle ones at a planned stop. */
    private static final long ACCEPTED_GRACE_MILLIS = 300;

    /** Time after the begin of a planned stop until which calls are received to their end. */
    private static final long RECEIVE_LIMIT_MILLIS = 3_000;

    /** Longer than the longest call takes once it was received. */
    private static final long CALL_LIMIT_MILLIS = 3_000;

    private static final String LOG_FOLDER = "log";

    /** Creates the handler of calls by operators and backend servers. */
    public interface HandlerFactory {
        /**
         * Creates the handler.
         *
         * @param service the operations of the controller
         * @return the handler
         */
        CallHandler create(ControllerService service);
    }

    private final Settings mSettings;
    private final Closer mCloser = Closer.create();
    private final DecisionLog mLog;
    private final EventLog mEventLog = EventLog.create();
    private final EventLoop mLoop;
    private final EventLoop mLogLoop;
    private final PeerNetwork mNetwork;
    private final ReplicaService mReplica;
    private final ControllerService mService;
    private final @Nullable DutyService mDuties;
    private final AutoscaleSpecs mAutoscaleSpecs;
    private final Metrics mMetrics = Metrics.create();
    private final ControllerLinks mLinks;
    private final HttpPort mControlPort;
    private volatile List<String> mConfiguredControllers;
    private final TableHistory mTables = TableHistory.create();
    private ControlState mDurableState = ControlState.create();
    private long mDurableTerm;
    private volatile boolean mStarted;

    private ControllerInstance(
            Settings settings,
            Path file,
            ProtocolAdapter protocol,
            HandlerFactory handlers,
            @Nullable DutyCalls dutyCalls) {
        mSettings = settings;
        mConfiguredControllers = settings.controllerPeerAddresses();
        SecureRandom random = new SecureRandom();
        mLog = DecisionLog.open(settings.instanceId().value());
        mCloser.register(mLog::close);
        mLoop = EventLoop.open("controller", this::logFault);
        mLogLoop = EventLoop.open("log", this::logFault);
        mCloser.register(mLoop::close);
        mCloser.register(mLogLoop::close);
        mNetwork =
                PeerNetwork.create(
                        settings.instanceId(),
                        Map.of(),
                        null,
                        SilentPeerLog.create(mEventLog, (address, cause) -> {}));
        mCloser.register(mNetwork::close);
        ControlState state = ControlState.create();
        mReplica = startReplica(state, random);
        mCloser.register(mReplica::close);
        Proposer proposer =
                Proposer.create(
                        mLoop, settings.instanceId(), this::voterAddresses, mNetwork, mReplica);
        mService =
                new ControllerService(
                        mLoop,
                        settings.instanceId(),
                        protocol,
                        proposer,
                        mReplica,
                        Math.toIntExact(settings.integer(SettingKey.VOTER_TOLERATED_LOSSES)),
                        mayFormLog(),
                        this::addressOf,
                        mTables,
                        mLog,
                        random.nextLong());
        mAutoscaleSpecs = AutoscaleSpecs.create(protocol);
        mDuties = createDuties(dutyCalls, Long.toString(random.nextLong() >>> 1, 36));
        mService.publishDurable(mDurableState, mDurableTerm);
        mDurableState = ControlState.create();
        startPrefixPersistence();
        mLinks = ControllerLinks.create(mLoop, mNetwork, mService, mLog);
        mService.reads().setExchange(leader -> mLinks.exchangeSoon(addressOf(leader)));
        mStarted = true;
        openPeers();
        mControlPort = openPort(handlers.create(mService));
        mCloser.register(mControlPort::close);
        mLoop.scheduleWithFixedDelay(MAINTENANCE_PERIOD_MILLIS, this::runMaintenance);
        SettingsReloader.start(
                mLoop,
                file,
                changed -> setConfiguredControllers(changed.controllerPeerAddresses()),
                mLog);
        mLog.instanceEvent("started")
                .put("zone", settings.zone().value())
                .put("heap_bytes", Runtime.getRuntime().maxMemory())
                .put("max_connections", controlLimits().maxConnections())
                .put("max_peers", settings.descriptors(DescriptorShare.CONTROLLER_PEERS))
                .write();
    }

    /**
     * Starts a controller.
     *
     * @param settings checked settings
     * @param file the file that they came from, read again when it changes
     * @param protocol parses the route tables that operators publish
     * @param handlers creates the handler of the control port
     * @return the running controller
     */
    public static ControllerInstance open(
            Settings settings, Path file, ProtocolAdapter protocol, HandlerFactory handlers) {
        return new ControllerInstance(settings, file, protocol, handlers, null);
    }

    /**
     * Starts a controller on a platform that has duties for it.
     *
     * @param settings checked settings, which may enable duties
     * @param file the file that they came from, read again when it changes
     * @param protocol parses the route tables that operators publish
     * @param handlers creates the handler of the control port
     * @param dutyCalls translates the calls of duties
     * @return the running controller
     */
    public static ControllerInstance openWithDuties(
            Settings settings,
            Path file,
            ProtocolAdapter protocol,
            HandlerFactory handlers,
            DutyCalls dutyCalls) {
        return new ControllerInstance(settings, file, protocol, handlers, dutyCalls);
    }

    private @Nullable DutyService createDuties(@Nullable DutyCalls calls, String incarnation) {
        DutySettings settings = DutySettings.of(mSettings);
        if (settings == null || calls == null) {
            return null;
        }
        HttpDutyTransport transport = HttpDutyTransport.open(mLoop, settings.address());
        mCloser.register(transport::close);
        DutyService duties =
                DutyService.create(
                        settings,
                        mSettings.instanceId().value(),
                        incarnation,
                        LogDutyReplica.of(mReplica),
                        autoscaleView(),
                        calls,
                        transport,
                        DutyClock.SYSTEM,
                        mMetrics,
                        mLog);
        mMetrics.registerValue(MetricName.DUTY_TOKEN, duties::highestToken);
        mMetrics.registerValue(MetricName.USAGE_REPORTED_WINDOW, duties::newestReportedWindow);
        mMetrics.registerValues(MetricName.ORDERED_SERVERS, "service_zone", duties::acceptedOrders);
        mService.enableDuties(duties);
        return duties;
    }

    private AutoscaleView autoscaleView() {
        return new AutoscaleView() {
            @Override
            public Collection<Registration> servers() {
                return mService.runningServers();
            }

            @Override
            public Map<ServiceId, AutoscaleSpec> specs() {
                return mAutoscaleSpecs.get();
            }
        };
    }

    private ReplicaService startReplica(ControlState state, SecureRandom random) {
        Path folder = mSettings.dataFolder();
        if (folder == null) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, "a controller needs voter.data_folder");
        }
        ReplicaStorage storage =
                ReplicaStorage.of(
                        folder.resolve(LOG_FOLDER),
                        random,
                        store -> TableTrackingStore.of(store, mTables),
                        ControllerStorageLog.of(mLog));
        ReplicaNode node = storage.start(store -> startNode(store, state, random));
        return ReplicaService.start(
                mLogLoop,
                node,
                failed -> storage.reopen(store -> resumeNode(store, failed, random)),
                this::send,
                mEventLog,
                () -> onApplied(state));
    }

    private ReplicaNode startNode(LogStore store, ControlState state, SecureRandom random) {
        mDurableState = readDurableState(store);
        mDurableTerm = settledTerm(store.recovered());
        return ReplicaNode.start(
                consensusSettings(),
                store,
                state,
                SNAPSHOT_INTERVAL_ENTRIES,
                new SplittableRandom(random.nextLong()),
                mLogLoop.nowNanos());
    }

    private ReplicaNode resumeNode(LogStore store, ReplicaNode failed, SecureRandom random) {
        return ReplicaNode.resume(
                consensusSettings(),
                store,
                failed,
                new SplittableRandom(random.nextLong()),
                mLogLoop.nowNanos());
    }

    /** Returns the control state after all commands on the local disk, committed or not. */
    private static ControlState readDurableState(LogStore store) {
        ControlState state = ControlState.create();
        RecoveredState recovered = store.recovered();
        SnapshotMeta snapshot = recovered.snapshot();
        if (snapshot != null) {
            state.restore(store.loadSnapshot());
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.index();
        for (Entry entry : recovered.entries()) {
            if (entry.kind() == EntryKind.COMMAND && entry.index() > snapshotIndex) {
                state.apply(entry.index(), entry.leaderTimeMillis(), entry.data());
            }
        }
        return state;
    }

    /** Returns the current term if the log ends with an entry of it, otherwise 0. */
    private static long settledTerm(RecoveredState recovered) {
        List<Entry> entries = recovered.entries();
        long term = recovered.hardState().term();
        boolean isSettled = !entries.isEmpty() && entries.get(entries.size() - 1).term() == term;
        return isSettled ? term : 0;
    }

    private void onApplied(ControlState state) {
        if (mStarted) {
            mService.publishCommitted(state);
            DutyService duties = mDuties;
            if (duties != null) {
                mAutoscaleSpecs.publish(state);
                duties.publish(state.duties());
            }
        }
    }

    private void startPrefixPersistence() {
        EventLoop disk = EventLoop.open("prefix-file", this::logFault);
        mCloser.register(disk::close);
        PrefixFile file = PrefixFile.of(mSettings.dataFolder(), disk, mLog);
        mService.restorePrefixUses(file.load());
        mLoop.scheduleWithFixedDelay(
                PREFIX_SAVE_PERIOD_MILLIS, () -> mService.savePrefixUses(file));
    }

    private ConsensusSettings consensusSettings() {
        return ConsensusSettings.of(mSettings.instanceId(), configuredInstances())
                .withFormation(mayFormLog() ? LogFormation.WITH_MAJORITY : LogFormation.NEVER);
    }

    private void setConfiguredControllers(List<String> addresses) {
        mConfiguredControllers = addresses;
        mReplica.setContacts(configuredInstances());
    }

    private List<InstanceId> configuredInstances() {
        List<InstanceId> controllers = new ArrayList<>();
        for (String peer : mConfiguredControllers) {
            controllers.add(instanceIdOf(peer));
        }
        return controllers;
    }

    /** Returns whether the fleet starts for the first time. */
    private boolean mayFormLog() {
        return mSettings.text(SettingKey.FLEET_FORM_LOG).equals("true");
    }

    private static InstanceId instanceIdOf(String address) {
        return InstanceId.of(address.substring(0, address.lastIndexOf(':')));
    }

    private void send(Packet packet) {
        mNetwork.send(
                addressOf(packet.to().instance()),
                packet.to().instance().value(),
                Slice.CONSENSUS,
                ConsensusCodec.encode(packet));
    }

    private String addressOf(InstanceId controller) {
        return mSettings.controllerPeerAddress(controller.value());
    }

    private Map<InstanceId, String> voterAddresses() {
        Map<InstanceId, String> voters = new HashMap<>();
        for (Member member : mReplica.membership().members()) {
            InstanceId id = member.replica().instance();
            voters.put(id, addressOf(id));
        }
        return voters;
    }

    private void openPeers() {
        PeerServer peers =
                PeerServer.open(
                        mSettings.address(SettingKey.LISTEN_PEER),
                        mSettings.descriptors(DescriptorShare.CONTROLLER_PEERS),
                        new ControllerPeerHandler(
                                mSettings.instanceId().value(), mReplica, mService, mDuties, mLog),
                        null);
        mCloser.register(peers::close);
    }

    private HttpLimits controlLimits() {
        return HttpLimits.internal()
                .withinDescriptors(mSettings.descriptors(DescriptorShare.CONTROL));
    }

    private HttpPort openPort(CallHandler handler) {
        Metrics metrics = mMetrics;
        metrics.registerValue(MetricName.LEADER, () -> mReplica.role() == Role.LEADER ? 1 : 0);
        metrics.registerValue(MetricName.TERM, mReplica::term);
        metrics.registerValue(
                MetricName.PARTS_HELD, () -> mService.quarantine().heldParts(mLoop.nowNanos()));
        RequestMemory memory = mSettings.requestMemory();
        metrics.registerRequestMemory(memory);
        MemoryReport report = MemoryReport.of(memory);
        mLoop.scheduleWithFixedDelay(MemoryReport.PERIOD_MILLIS, () -> report.writeTo(mLog));
        metrics.registerValue(MetricName.TABLES_DEFERRED, mService::deferredTables);
        HealthEndpoints endpoints =
                HealthEndpoints.create(() -> mReplica.leader() != null, metrics);
        QuarantineEndpoints quarantine =
                QuarantineEndpoints.create(mService.quarantine(), mLoop::nowNanos);
        return HttpPort.open(
                "control",
                mSettings.address(SettingKey.LISTEN_OPERATORS),
                controlLimits(),
                memory,
                (call, responder) -> {
                    if (endpoints.handles(call.path())) {
                        endpoints.handle(call, responder);
                        return;
                    }
                    if (quarantine.handles(call.path())) {
                        quarantine.handle(call, responder);
                        return;
                    }
                    handler.handle(call, responder);
                },
                null);
    }

    private void runMaintenance() {
        Set<String> addresses = new HashSet<>(mConfiguredControllers);
        addresses.addAll(voterAddresses().values());
        addresses.remove(addressOf(mSettings.instanceId()));
        mLinks.setControllers(addresses);
        mService.runMaintenance();
        if (mDuties != null) {
            mDuties.run();
        }
    }

    private void logFault(Throwable cause) {
        mLog.instanceEvent("internal_fault").put("cause", cause.toString()).write();
    }

    @Override
    public void shutDown() {
        long startNanos = mLoop.nowNanos();
        mLog.instanceEvent("stopping").write();
        handOverSeat();
        endCalls(startNanos);
        close();
    }

    /**
     * Closes the control port once the calls that it took in are answered. Those that have not
     * arrived whole in time are refused; all others end by their own time limit.
     */
    private void endCalls(long startNanos) {
        mControlPort.stopAccepting();
        GracefulShutdown.sleep(ACCEPTED_GRACE_MILLIS);
        mControlPort.closeIdleConnections();
        long receiveEndNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(RECEIVE_LIMIT_MILLIS);
        GracefulShutdown.awaitDrained(mControlPort::openConnections, receiveEndNanos);
        int refused = mControlPort.refuseIncompleteRequests();
        long callEndNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(CALL_LIMIT_MILLIS);
        GracefulShutdown.awaitDrained(mControlPort::openConnections, callEndNanos);
        mLog.instanceEvent("stopped")
                .put("refused", refused)
                .put("connections", mControlPort.openConnections())
                .put("unfinished", mControlPort.openExchanges())
                .put("elapsed_ms", TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - startNanos))
                .write();
        mControlPort.closeNow();
    }

    private void handOverSeat() {
        SeatHandover handover = mService.handover();
        if (!handover.isPossible()) {
            return;
        }
        long startNanos = mLoop.nowNanos();
        handover.start(startNanos);
        long elapsedMillis = 0;
        while (!handover.isDone() && elapsedMillis < HANDOVER_LIMIT_MILLIS) {
            mLoop.execute(mLinks::exchangeSoon);
            try {
                TimeUnit.MILLISECONDS.sleep(HANDOVER_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            elapsedMillis = TimeUnit.NANOSECONDS.toMillis(mLoop.nowNanos() - startNanos);
        }
        mLog.instanceEvent("seat_handover")
                .put("outcome", handover.isDone() ? "done" : "timed_out")
                .put("elapsed_ms", elapsedMillis)
                .write();
    }

    @Override
    public void close() {
        try {
            mCloser.close();
        } catch (IOException e) {
            logFault(e);
        }
    }
}
