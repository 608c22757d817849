package org.hemlockrack.daemon.sync;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How often an instance exchanges state with a controller that knows of one gateway. */
class ControllerLinkTest {
    private static final int CONTROLLERS = 8;

    /** Pause between exchanges with one of them while there is no state. */
    private static final long LONG_PAUSE_MILLIS = CONTROLLERS * 100;

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("g1", new ByteArrayOutputStream());
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("g1"), Map.of(), null, (address, cause) -> {});
    private final Semaphore mExchanges = new Semaphore(0);
    private final PeerServer mServer =
            PeerServer.open(
                    new InetSocketAddress("127.0.0.1", 0),
                    (Peer.Iface)
                            Proxy.newProxyInstance(
                                    Peer.Iface.class.getClassLoader(),
                                    new Class<?>[] {Peer.Iface.class},
                                    (proxy, method, arguments) -> reply()),
                    null);
    private volatile boolean mAwaitsState;

    @AfterEach
    void close() {
        mNetwork.close();
        mServer.close();
        mLoop.close();
        mLog.close();
    }

    private SyncReply reply() {
        mExchanges.release();
        SyncReply reply = new SyncReply();
        reply.setServers(List.of());
        reply.setFleetInFlight(List.of());
        reply.setControllers(List.of());
        reply.setPrefixUses(List.of());
        reply.setGateways(1);
        return reply;
    }

    private final class Instance implements ControllerLink.Delegate {
        @Override
        public SyncRequest createRequest(String address, Map<BackendId, Integer> ownLoad) {
            SyncRequest request = new SyncRequest();
            request.setSender("g1");
            request.setInFlight(List.of());
            request.setCounts(List.of());
            request.setRequests(List.of());
            return request;
        }

        @Override
        public int controllersWithoutState() {
            return mAwaitsState ? CONTROLLERS : 0;
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
                long requestNanos) {}
    }

    /** Starts a link and returns the time that a number of exchanges takes. */
    private long millisForExchanges(int exchanges) throws InterruptedException {
        String address = "127.0.0.1:" + mServer.address().getPort();
        long startNanos = System.nanoTime();
        mLoop.execute(() -> ControllerLink.start(mLoop, mNetwork, address, new Instance(), mLog));
        assertTrue(mExchanges.tryAcquire(exchanges, 30, TimeUnit.SECONDS));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * Guards against instances that keep restarted controllers from electing a leader. A restarted
     * controller has heard of few gateways, for which the pause would be an eighth of this one.
     */
    @Test
    void instanceWithoutStateExchangesSeldom() throws Exception {
        mAwaitsState = true;
        long elapsedMillis = millisForExchanges(3);
        assertTrue(elapsedMillis >= 2 * LONG_PAUSE_MILLIS, "after " + elapsedMillis + " ms");
    }

    /** Guards against a small fleet that learns of changes late once it has a state. */
    @Test
    void instanceWithStateExchangesOften() throws Exception {
        millisForExchanges(20);
    }
}
