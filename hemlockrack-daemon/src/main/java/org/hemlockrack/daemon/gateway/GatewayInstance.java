package org.hemlockrack.daemon.gateway;

import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.daemon.GracefulShutdown;
import org.hemlockrack.daemon.ServiceProcess;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.MemoryReport;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.operator.HealthEndpoints;
import org.hemlockrack.daemon.settings.DescriptorShare;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.settings.SettingsReloader;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.dispatch.ZoneSuspension;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.limits.ByteBudget;
import org.hemlockrack.limits.RequestMemory;

/** A running gateway: its ports, its connections to controllers and servers, and its metrics. */
public final class GatewayInstance implements ServiceProcess.Instance, AutoCloseable {
    /** Connecting takes a few milliseconds, and TCP retransmits a lost SYN only after a second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /**
     * Idle timeout of connections to servers; the timeouts of routes end a silent exchange earlier.
     */
    private static final long UPSTREAM_IDLE_MILLIS = 120_000;

    /**
     * Part of the heap for answers that callers have not taken yet. Request bodies, buffers of
     * connections and the state of the fleet need the rest.
     */
    private static final double ANSWER_HEAP_FRACTION = 0.125;

    private static final long EXPIRY_PERIOD_MILLIS = 500;

    /** Longest time that the end of a planned stop waits until the last counts are reported. */
    private static final long LAST_REPORT_MILLIS = 150;

    private static final long LAST_REPORT_POLL_MILLIS = 10;

    /** A suspension lasts at most one second after the last failure. */
    private static final long SUSPENSION_LOG_PERIOD_MILLIS = 250;

    private final Settings mSettings;
    private final Closer mCloser = Closer.create();
    private final EventLoop mLoop;
    private final DecisionLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final GatewayState mState;
    private final DutyReports mDutyReports;
    private final GatewayViewUpdater mViewUpdater;
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private final OpenExchanges mOpenExchanges = OpenExchanges.create();
    private final ByteBudget mAnswerBudget =
            ByteBudget.of((long) (ANSWER_HEAP_FRACTION * Runtime.getRuntime().maxMemory()));
    private final RequestMemory mRequestMemory;
    private final int mMaxOpenRequests;
    private final GatewayContext mContext;
    private final GatewayHandler mHandler;
    private final HttpPort mCallerPort;
    private final MemoryReport mMemoryReport;
    private volatile boolean mDraining;

    private GatewayInstance(Settings settings, Path file, ProtocolAdapter protocol) {
        mSettings = settings;
        mMaxOpenRequests = settings.descriptors(DescriptorShare.GATEWAY_REQUESTS);
        SecureRandom random = new SecureRandom();
        mRequestMemory = settings.requestMemory();
        mMemoryReport = MemoryReport.of(mRequestMemory);
        mLog = DecisionLog.open(settings.instanceId().value());
        mCloser.register(mLog::close);
        mLoop = EventLoop.open("gateway", this::logFault);
        mCloser.register(mLoop::close);
        PeerNetwork network =
                PeerNetwork.create(settings.instanceId(), Map.of(), null, (address, cause) -> {});
        mCloser.register(network::close);
        mState =
                GatewayState.create(
                        ServerPool.create(
                                settings.zone(),
                                new SplittableRandom(random.nextLong()),
                                SchedulingMode.of(settings.text(SettingKey.SCHEDULING_MODE))));
        String senderId = settings.instanceId() + "/" + Long.toString(random.nextLong() >>> 1, 36);
        RetryPermits retries = RetryPermits.create(mLoop, network, senderId, retryLimits(settings));
        GatewayQuarantine quarantine = GatewayQuarantine.create(mLog);
        mDutyReports = DutyReports.create(settings.zone());
        QueueService queues =
                QueueService.create(
                        mLoop, mState, mMetrics, new SplittableRandom(random.nextLong()));
        mViewUpdater =
                new GatewayViewUpdater(
                        mLoop,
                        network,
                        senderId,
                        protocol,
                        mState,
                        retries,
                        quarantine,
                        mDutyReports,
                        queues,
                        mLog);
        retries.setControllers(mViewUpdater::reachableControllers);
        mContext = createContext(protocol, retries, quarantine, queues, random);
        mHandler = new GatewayHandler(mContext, mViewUpdater);
        mCallerPort = openCallerPort();
        mCloser.register(mCallerPort::close);
        HttpPort pages = openPages();
        mCloser.register(pages::close);
        registerMetrics(quarantine, queues);
        mLoop.scheduleWithFixedDelay(EXPIRY_PERIOD_MILLIS, mViewUpdater::expireServers);
        mLoop.scheduleWithFixedDelay(MemoryReport.PERIOD_MILLIS, () -> mMemoryReport.writeTo(mLog));
        mLoop.scheduleWithFixedDelay(SUSPENSION_LOG_PERIOD_MILLIS, this::logZoneSuspensions);
        mLoop.execute(() -> mViewUpdater.setSeeds(settings.controllerPeerAddresses()));
        SettingsReloader.start(
                mLoop,
                file,
                changed -> mViewUpdater.setSeeds(changed.controllerPeerAddresses()),
                mLog);
        logStart();
    }

    private void logStart() {
        mLog.instanceEvent("started")
                .put("zone", mSettings.zone().value())
                .put("heap_bytes", Runtime.getRuntime().maxMemory())
                .put("max_connections", callerLimits().maxConnections())
                .put("max_open_requests", mMaxOpenRequests)
                .write();
    }

    private HttpLimits callerLimits() {
        return mSettings
                .callerLimits()
                .withinDescriptors(mSettings.descriptors(DescriptorShare.GATEWAY_CALLERS));
    }

    private HttpPort openCallerPort() {
        return HttpPort.open(
                "callers",
                mSettings.address(SettingKey.LISTEN_CALLERS),
                callerLimits(),
                mRequestMemory,
                this::handleOrRefuse,
                null);
    }

    /** Refuses a request at once if there is no descriptor left for its connection to a server. */
    private void handleOrRefuse(HttpCall call, Responder responder) {
        if (mOpenRequests.get() >= mMaxOpenRequests) {
            mContext.refuse(responder, ErrorKind.OVERLOADED, ErrorText.REQUESTS_OPEN);
            return;
        }
        mHandler.handle(call, CountingResponder.of(responder, mOpenRequests));
    }

    private GatewayContext createContext(
            ProtocolAdapter protocol,
            RetryPermits retries,
            GatewayQuarantine quarantine,
            QueueService queues,
            SecureRandom random) {
        return new GatewayContext(
                mLoop,
                protocol,
                mState,
                retries,
                quarantine,
                mDutyReports,
                queues,
                openClient(true),
                openClient(false),
                mOpenExchanges,
                mAnswerBudget,
                mLog,
                mMetrics,
                new SplittableRandom(random.nextLong()));
    }

    private void registerMetrics(GatewayQuarantine quarantine, QueueService queues) {
        mMetrics.registerValue(MetricName.REQUESTS_WAITING, queues::waiting);
        mMetrics.registerValue(MetricName.WAITING_BYTES, queues::waitingBytes);
        mMetrics.registerValue(MetricName.OPEN_REQUESTS, mOpenRequests::get);
        mMetrics.registerValue(MetricName.ANSWER_BYTES, mAnswerBudget::reservedBytes);
        mMetrics.registerRequestMemory(mRequestMemory);
        mMetrics.registerValue(MetricName.VIEW_AGE, mViewUpdater::viewAgeSeconds);
        mMetrics.registerValue(MetricName.TABLE_AGE, mViewUpdater::tableAgeSeconds);
        mMetrics.registerValue(MetricName.SERVERS_SUSPENDED, mState::suspendedServers);
        mMetrics.registerValue(MetricName.ZONES_SUSPENDED, mState::suspendedZones);
        mMetrics.registerValue(MetricName.SERVERS_LIMITED, mState::limitedServers);
        mMetrics.registerValue(MetricName.LOAD_ERROR, mState::loadErrorRequests);
        mMetrics.registerValue(MetricName.PARTS_HELD, quarantine::heldParts);
        mMetrics.registerValue(MetricName.LOG_LINES_DROPPED, mLog::droppedCount);
        mMetrics.registerValue(MetricName.LOG_UNSAMPLED, mLog::unsampledCount);
        mMetrics.registerValue(MetricName.CONFIG_VERSION, () -> mViewUpdater.view().tableVersion());
    }

    /**
     * Starts a gateway.
     *
     * @param settings checked settings
     * @param file the file that they came from, read again when it changes
     * @param protocol protocol of callers, servers and operators
     * @return the running gateway
     */
    public static GatewayInstance open(Settings settings, Path file, ProtocolAdapter protocol) {
        return new GatewayInstance(settings, file, protocol);
    }

    private static RetryLimits retryLimits(Settings settings) {
        return new RetryLimits(
                settings.decimal(SettingKey.FLEET_RETRY_RATIO),
                settings.decimal(SettingKey.FLEET_RETRY_SLACK),
                settings.decimal(SettingKey.FLEET_RETRY_WINDOW_S));
    }

    private HttpClient openClient(boolean reuse) {
        HttpClient client =
                HttpClient.openWithNarrowWindow(
                        1, CONNECT_TIMEOUT_MILLIS, UPSTREAM_IDLE_MILLIS, reuse);
        mCloser.register(client::close);
        return client;
    }

    private HttpPort openPages() {
        HealthEndpoints endpoints = HealthEndpoints.create(this::isReady, mMetrics);
        return HttpPort.open(
                "pages",
                mSettings.address(SettingKey.LISTEN_OPERATORS),
                HttpLimits.internal()
                        .withinDescriptors(mSettings.descriptors(DescriptorShare.GATEWAY_PAGES)),
                mRequestMemory,
                ExplainEndpoint.wrap(mSettings, createExplainer(), endpoints::handleOrRefuse),
                null);
    }

    private RequestExplainer createExplainer() {
        return RequestExplainer.create(
                mContext, mViewUpdater::standing, mViewUpdater::isNewestTable);
    }

    private boolean isReady() {
        return !mDraining && mViewUpdater.view().table() != null && !mState.isEmpty();
    }

    private void logZoneSuspensions() {
        for (ZoneSuspension each : mState.takeZoneSuspensions()) {
            mLog.instanceEvent(each.begun() ? "zone_suspended" : "zone_suspension_ended")
                    .put("zone", each.zone().value())
                    .put("servers", each.servers())
                    .put("lasted_ms", TimeUnit.NANOSECONDS.toMillis(each.lastedNanos()))
                    .write();
        }
    }

    private void logFault(Throwable cause) {
        mLog.instanceEvent("internal_fault").put("cause", cause.toString()).write();
    }

    @Override
    public void shutDown() {
        mDraining = true;
        mDutyReports.reportAtOnce();
        long timeoutMillis = mSettings.integer(SettingKey.SHUTDOWN_DRAIN_TIMEOUT_MS);
        PlannedStop.begin(mCallerPort, mHandler, mOpenExchanges, mLog, timeoutMillis).run();
        reportLastUsage();
        close();
    }

    private void reportLastUsage() {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LAST_REPORT_MILLIS);
        while (mDutyReports.hasUnreported() && System.nanoTime() - endNanos < 0) {
            mViewUpdater.exchangeSoon();
            GracefulShutdown.sleep(LAST_REPORT_POLL_MILLIS);
        }
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
