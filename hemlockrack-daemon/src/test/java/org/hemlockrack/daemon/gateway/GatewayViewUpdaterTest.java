package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What a gateway makes of the replies of its controllers. */
class GatewayViewUpdaterTest {
    private static final String CONTROLLER = "127.0.0.1:1";
    private static final String OTHER_CONTROLLER = "127.0.0.1:2";
    private static final String THIRD_CONTROLLER = "127.0.0.1:3";

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("g1", new ByteArrayOutputStream());
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("g1"), Map.of(), null, (address, cause) -> {});
    private final GatewayViewUpdater mUpdater =
            new GatewayViewUpdater(
                    mLoop,
                    mNetwork,
                    "g1/1",
                    new VersionProtocol(),
                    GatewayState.create(ServerPool.create(ZoneId.of("a"), new SplittableRandom(1))),
                    RetryPermits.create(mLoop, mNetwork, "g1/1", new RetryLimits(0.1, 10, 10)),
                    GatewayQuarantine.create(mLog),
                    DutyReports.create(ZoneId.of("a")),
                    QueueService.create(
                            mLoop,
                            GatewayState.create(
                                    ServerPool.create(ZoneId.of("a"), new SplittableRandom(1))),
                            Metrics.create(),
                            new SplittableRandom(1)),
                    mLog);

    @AfterEach
    void close() {
        mNetwork.close();
        mLoop.close();
        mLog.close();
    }

    /** Creates the reply of a controller that holds a committed table and does not send it. */
    private static SyncReply replyWithoutTable(long tableVersion) {
        SyncReply reply = new SyncReply();
        reply.setCaughtUp(true);
        reply.setConfirmedAgeMillis(0);
        reply.setTableVersion(tableVersion);
        reply.setServers(List.of());
        reply.setFleetInFlight(List.of());
        reply.setControllers(List.of());
        reply.setPrefixUses(List.of());
        return reply;
    }

    private static SyncReply replyWithTable(long tableVersion) {
        SyncReply reply = replyWithoutTable(tableVersion);
        reply.setTableDocument(Deflate.deflate(VersionProtocol.document(tableVersion)));
        return reply;
    }

    private void receive(String controller, SyncReply reply) {
        mUpdater.onReply(controller, reply, Map.of(), mLoop.nowNanos());
    }

    /**
     * Guards against a refusal for lack of a route or key that a newer table may hold: a reply that
     * reported a newer table counted as a confirmation of the older one.
     */
    @Test
    void tableIsNotTheNewestWhileANewerOneIsFetched() {
        receive(CONTROLLER, replyWithTable(7));
        assertTrue(mUpdater.isNewestTable(7));
        receive(CONTROLLER, replyWithoutTable(8));
        assertEquals(7, mUpdater.view().tableVersion());
        assertFalse(mUpdater.isNewestTable(7));
        receive(OTHER_CONTROLLER, replyWithoutTable(7));
        assertFalse(mUpdater.isNewestTable(7), "a controller that lags confirms nothing");
        receive(CONTROLLER, replyWithTable(8));
        assertTrue(mUpdater.isNewestTable(8));
        assertFalse(mUpdater.isNewestTable(7), "a request may still hold the table from before");
    }

    /**
     * Guards against a refusal that rests on a reply which was held up on its way: it counted as a
     * confirmation of the time at which it arrived.
     */
    @Test
    void delayedReplyConfirmsTheTimeOfItsRequest() {
        long requestNanos = mLoop.nowNanos() - TimeUnit.SECONDS.toNanos(3);
        mUpdater.onReply(CONTROLLER, replyWithTable(7), Map.of(), requestNanos);
        assertEquals(7, mUpdater.view().tableVersion());
        assertFalse(mUpdater.isNewestTable(mUpdater.view().tableVersion()));
        receive(CONTROLLER, replyWithoutTable(7));
        assertTrue(mUpdater.isNewestTable(mUpdater.view().tableVersion()));
    }

    /**
     * Guards against a refusal for good by a table that was replaced: a controller that had been
     * cut off took a delayed message for contact with a leader, and counted as a confirmation.
     */
    @Test
    void controllerWithoutAConfirmedStateConfirmsNothing() {
        SyncReply unconfirmed = replyWithTable(7);
        unconfirmed.unsetConfirmedAgeMillis();
        receive(CONTROLLER, unconfirmed);
        assertEquals(7, mUpdater.view().tableVersion());
        assertFalse(mUpdater.isNewestTable(7));
        SyncReply outdated = replyWithoutTable(7);
        outdated.setConfirmedAgeMillis(3_000);
        receive(CONTROLLER, outdated);
        assertFalse(mUpdater.isNewestTable(7));
        receive(OTHER_CONTROLLER, replyWithoutTable(7));
        assertTrue(mUpdater.isNewestTable(7));
    }

    private boolean asksForTable(String controller) {
        return mUpdater.createRequest(controller, Map.of()).getHaveTableVersion() != Long.MAX_VALUE;
    }

    /**
     * Guards against a second of waiting for a table that a controller leaves out because it sends
     * many others.
     */
    @Test
    void nextControllerIsAskedForATableThatWasLeftOut() {
        receive(CONTROLLER, replyWithTable(7));
        receive(CONTROLLER, replyWithoutTable(8));
        assertTrue(asksForTable(CONTROLLER));
        receive(CONTROLLER, replyWithoutTable(8));
        assertFalse(asksForTable(CONTROLLER));
        receive(OTHER_CONTROLLER, replyWithoutTable(8));
        assertTrue(mUpdater.isUrgent(OTHER_CONTROLLER));
        assertTrue(asksForTable(OTHER_CONTROLLER));
        receive(OTHER_CONTROLLER, replyWithTable(8));
        assertEquals(8, mUpdater.view().tableVersion());
    }

    /**
     * Guards against controllers that take a table for one on its way, and leave others out, until
     * the next regular request of its receiver.
     */
    @Test
    void receivedTableIsConfirmedAtOnce() {
        receive(CONTROLLER, replyWithTable(7));
        assertTrue(mUpdater.isUrgent(CONTROLLER));
        assertFalse(mUpdater.isUrgent(OTHER_CONTROLLER));
        mUpdater.createRequest(CONTROLLER, Map.of());
        receive(CONTROLLER, replyWithoutTable(7));
        assertFalse(mUpdater.isUrgent(CONTROLLER));
    }

    /** Receives the reply of a controller that has only read its disk. */
    private void receiveFromDisk(String controller, long tableVersion, int voters) {
        SyncRequest request = mUpdater.createRequest(controller, Map.of());
        SyncReply reply = replyWithoutTable(tableVersion);
        reply.setCaughtUp(false);
        reply.unsetConfirmedAgeMillis();
        reply.setVoters(voters);
        if (voters > 0) {
            LoggedTableData data = new LoggedTableData(tableVersion);
            if (request.getMaxTableBytes() > 0) {
                data.setDocument(Deflate.deflate(VersionProtocol.document(tableVersion)));
            }
            boolean isListed = tableVersion > request.getListTablesAbove();
            reply.setLoggedTableVersion(tableVersion);
            reply.setLoggedTables(isListed ? List.of(data) : List.of());
        }
        receive(controller, reply);
    }

    /**
     * Guards against an old table in force after a restart of all processes: a controller without a
     * vote, which may lag, counted towards the majority that holds every acknowledged table. Also
     * guards against a table that only one of the majority has, which may be lost.
     */
    @Test
    void controllersWithoutAVoteAreNoPartOfTheMajority() {
        for (int i = 0; i < 2; i++) {
            receiveFromDisk(CONTROLLER, 7, 0);
            receiveFromDisk(OTHER_CONTROLLER, 7, 3);
        }
        assertEquals(0, mUpdater.view().tableVersion());
        for (int i = 0; i < 2; i++) {
            receiveFromDisk(THIRD_CONTROLLER, 8, 3);
            receiveFromDisk(OTHER_CONTROLLER, 7, 3);
        }
        receiveFromDisk(OTHER_CONTROLLER, 7, 3);
        assertEquals(7, mUpdater.view().tableVersion());
        assertFalse(mUpdater.isNewestTable(mUpdater.view().tableVersion()));
        receiveFromDisk(OTHER_CONTROLLER, 8, 3);
        receiveFromDisk(THIRD_CONTROLLER, 8, 3);
        receiveFromDisk(THIRD_CONTROLLER, 8, 3);
        assertEquals(8, mUpdater.view().tableVersion());
        assertTrue(mUpdater.isNewestTable(8));
    }

    /**
     * Guards against gateways that wait for their seeds after a loss of power: two of three seeds
     * voted, and the other three voters, which could have made up the majority, were only asked
     * once a leader had reached the seeds.
     */
    @Test
    void controllersThatAreKnownFromADiskAreAskedToo() throws IOException {
        try (ServerSocket voter = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            voter.setSoTimeout((int) TimeUnit.SECONDS.toMillis(10));
            SyncReply reply = replyWithoutTable(7);
            reply.setCaughtUp(false);
            reply.unsetConfirmedAgeMillis();
            reply.setVoters(5);
            reply.setControllers(List.of("127.0.0.1:" + voter.getLocalPort()));
            mLoop.execute(() -> receive(CONTROLLER, reply));
            voter.accept().close();
        }
    }
}
