package org.hemlockrack.daemon.gateway;

import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockrack.daemon.OpenWork;
import org.hemlockrack.daemon.ServiceProcess;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.operator.PlatformPages;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.settings.SettingsWatch;
import org.hemlockrack.dispatch.ServerPool;

/** One running gateway. */
public final class GatewayInstance implements ServiceProcess.Instance, AutoCloseable {
    /** Links take a few ms, and TCP repeats a lost opening packet only after a second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 250;

    /** The time limits of routes end a silent exchange earlier. */
    private static final long UPSTREAM_IDLE_MILLIS = 120_000;

    private static final long EXPIRY_PERIOD_MILLIS = 500;

    /** The balancer asks once a second and acts on the second miss; new callers come until then. */
    private static final long LEAVE_ROTATION_MILLIS = 2_600;

    /** The process must have ended by itself when the time limit of the stop is over. */
    private static final long STOP_MARGIN_MILLIS = 600;

    private final Settings mSettings;
    private final Closer mCloser = Closer.create();
    private final Loop mLoop;
    private final DecisionLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final SharedPool mPool;
    private final FleetFollower mFollower;
    private final AtomicInteger mOpen = new AtomicInteger();
    private final HttpPort mCallers;
    private volatile boolean mDraining;

    private GatewayInstance(Settings settings, Path file, Dialect dialect) {
        mSettings = settings;
        SecureRandom seeds = new SecureRandom();
        mLog = DecisionLog.open(settings.instanceId().value());
        mCloser.register(mLog::close);
        mLoop = Loop.open("gateway", this::fault);
        mCloser.register(mLoop::close);
        PeerNetwork network =
                PeerNetwork.create(settings.instanceId(), Map.of(), null, (address, cause) -> {});
        mCloser.register(network::close);
        mPool =
                SharedPool.create(
                        ServerPool.create(settings.zone(), new SplittableRandom(seeds.nextLong())),
                        new RetryLimits(
                                settings.decimal(SettingKey.FLEET_RETRY_RATIO),
                                settings.decimal(SettingKey.FLEET_RETRY_SLACK),
                                settings.decimal(SettingKey.FLEET_RETRY_WINDOW_S)));
        String name = settings.instanceId() + "/" + Long.toString(seeds.nextLong() >>> 1, 36);
        mFollower = new FleetFollower(mLoop, network, name, dialect, mPool, mLog);
        GatewayContext context =
                new GatewayContext(
                        mLoop,
                        dialect,
                        mPool,
                        openClient(true),
                        openClient(false),
                        mLog,
                        mMetrics,
                        new SplittableRandom(seeds.nextLong()));
        GatewayHandler handler = new GatewayHandler(context, mFollower);
        mCallers =
                HttpPort.open(
                        "callers",
                        settings.address(SettingKey.LISTEN_CALLERS),
                        settings.callerLimits(),
                        (call, responder) ->
                                handler.handle(call, CountedResponder.of(responder, mOpen)));
        mCloser.register(mCallers::close);
        HttpPort pages = openPages();
        mCloser.register(pages::close);
        mMetrics.value(MetricName.OPEN_REQUESTS, mOpen::get);
        mMetrics.value(MetricName.VIEW_AGE, mFollower::ageSeconds);
        mMetrics.value(MetricName.SERVERS_SUSPENDED, mPool::suspended);
        mMetrics.value(MetricName.LOG_LINES_DROPPED, mLog::dropped);
        mMetrics.value(MetricName.LOG_UNSAMPLED, mLog::unsampled);
        mMetrics.value(MetricName.CONFIG_VERSION, () -> mFollower.view().tableVersion());
        mLoop.repeat(EXPIRY_PERIOD_MILLIS, mFollower::expire);
        mLoop.execute(() -> mFollower.seeds(settings.controllerPeers()));
        SettingsWatch.start(
                mLoop, file, changed -> mFollower.seeds(changed.controllerPeers()), mLog);
        mLog.state("started").put("zone", settings.zone().value()).write();
    }

    /**
     * Starts a gateway.
     *
     * @param settings checked settings
     * @param file the file that they came from, read again when it changes
     * @param dialect how callers, servers and operators write
     * @return the running gateway
     */
    public static GatewayInstance open(Settings settings, Path file, Dialect dialect) {
        return new GatewayInstance(settings, file, dialect);
    }

    private HttpClient openClient(boolean reuse) {
        HttpClient client = HttpClient.open(1, CONNECT_TIMEOUT_MILLIS, UPSTREAM_IDLE_MILLIS, reuse);
        mCloser.register(client::close);
        return client;
    }

    private HttpPort openPages() {
        PlatformPages pages = PlatformPages.create(this::isReady, mMetrics);
        return HttpPort.open(
                "pages",
                mSettings.address(SettingKey.LISTEN_OPERATORS),
                HttpLimits.internal(),
                pages::handleOrRefuse);
    }

    private boolean isReady() {
        return !mDraining && mFollower.view().table() != null && !mPool.isEmpty();
    }

    private void fault(Throwable cause) {
        mLog.state("internal_fault").put("cause", cause.toString()).write();
    }

    @Override
    public void shutDown() {
        long startNanos = System.nanoTime();
        mDraining = true;
        mLog.state("stopping").put("open", mOpen.get()).write();
        OpenWork.pause(LEAVE_ROTATION_MILLIS);
        try {
            mCallers.stopAccepting();
        } catch (IOException e) {
            fault(e);
        }
        long endNanos =
                startNanos
                        + TimeUnit.MILLISECONDS.toNanos(
                                mSettings.integer(SettingKey.SHUTDOWN_DRAIN_TIMEOUT_MS)
                                        - STOP_MARGIN_MILLIS);
        int left = OpenWork.await(mOpen::get, endNanos);
        mLog.state("stopped").put("cut", left).write();
        close();
    }

    @Override
    public void close() {
        try {
            mCloser.close();
        } catch (IOException e) {
            fault(e);
        }
    }
}
