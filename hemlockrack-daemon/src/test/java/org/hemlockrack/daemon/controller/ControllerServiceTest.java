package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.TableHistory;
import org.hemlockrack.control.TableSends;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.control.WaitingReads;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.gateway.VersionProtocol;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A controller that restarts alone, with entries on its disk that no majority has. */
class ControllerServiceTest {
    private static final InstanceId SELF = InstanceId.of("a");
    private static final String UNREACHABLE = "127.0.0.1:1";
    private static final int TABLE_VERSION = 7;
    private static final BackendId SERVER = BackendId.of("server-1");
    private static final long SERVER_START_MILLIS = 5;

    @TempDir private Path mFolder;

    private final EventLoop mLoop = EventLoop.open("controller", Throwable::printStackTrace);
    private final EventLoop mLogLoop = EventLoop.open("log", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("a", new ByteArrayOutputStream());
    private final PeerNetwork mNetwork =
            PeerNetwork.create(SELF, Map.of(), null, (address, cause) -> {});
    private final TableHistory mTables = TableHistory.create();
    private ReplicaService mReplica;
    private ControllerService mService;

    private void restart(MemberKind kind) {
        LogStore store = LogStore.open(mFolder, new SecureRandom());
        long replicaId = store.recovered().hardState().replicaId();
        Map<InstanceId, String> voters = new HashMap<>();
        List<Member> members = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            InstanceId instance = InstanceId.of(name);
            boolean isSelf = instance.equals(SELF);
            ReplicaRef replica = ReplicaRef.of(instance, isSelf ? replicaId : members.size());
            members.add(new Member(replica, isSelf ? kind : MemberKind.VOTER));
            voters.put(instance, UNREACHABLE);
        }
        byte[] membership = WireCodec.encodeMembership(new Membership(replicaId, members));
        byte[] table =
                ControlCommand.publishTable(TABLE_VERSION, VersionProtocol.document(TABLE_VERSION));
        byte[] departure = ControlCommand.recordDeparture(SERVER, SERVER_START_MILLIS);
        store.append(
                List.of(
                        new Entry(1, 1, EntryKind.MEMBERSHIP, 0, membership),
                        new Entry(2, 1, EntryKind.COMMAND, 0, table),
                        new Entry(3, 1, EntryKind.COMMAND, 0, departure)));
        store.sync();
        store.close();

        LogStore reopened =
                TableTrackingStore.of(LogStore.open(mFolder, new SecureRandom()), mTables);
        ControlState durable = ControlState.create();
        durable.apply(2, 0, table);
        durable.apply(3, 0, departure);
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(SELF, List.copyOf(voters.keySet())),
                        reopened,
                        ControlState.create(),
                        100,
                        new SplittableRandom(1),
                        mLogLoop.nowNanos());
        mReplica =
                ReplicaService.start(
                        mLogLoop,
                        node,
                        failed -> failed,
                        packet -> {},
                        EventLog.create(),
                        () -> {});
        Proposer proposer = Proposer.create(mLoop, SELF, () -> voters, mNetwork, mReplica);
        mService =
                new ControllerService(
                        mLoop,
                        SELF,
                        new VersionProtocol(),
                        proposer,
                        mReplica,
                        1,
                        false,
                        instance -> UNREACHABLE,
                        mTables,
                        mLog,
                        1);
        mService.publishDurable(durable, 0);
    }

    @AfterEach
    void close() {
        mReplica.close();
        mNetwork.close();
        mLoop.close();
        mLog.close();
    }

    private static void assertNotAcknowledged(CompletableFuture<Void> order) {
        assertFalse(order.isDone() && !order.isCompletedExceptionally());
        ExecutionException refusal =
                assertThrows(ExecutionException.class, () -> order.get(10, TimeUnit.SECONDS));
        assertInstanceOf(HemlockrackException.class, refusal.getCause());
    }

    /**
     * Guards against an acknowledged table that is lost: a restarted controller acknowledged a
     * repeated table because it was on its own disk.
     */
    @Test
    void tableOnOneDiskIsNotAcknowledged() {
        restart(MemberKind.VOTER);
        assertNotAcknowledged(mService.publishTable(VersionProtocol.document(TABLE_VERSION)));
    }

    /** Guards against an acknowledged departure that is lost, for the same reason. */
    @Test
    void departureOnOneDiskIsNotAcknowledged() {
        restart(MemberKind.VOTER);
        assertNotAcknowledged(mService.recordDeparture(SERVER, SERVER_START_MILLIS));
    }

    private SyncReply sync() {
        SyncRequest request = mService.createRequest(UNREACHABLE, Map.of());
        request.setPrefixUses(List.of());
        return mService.sync(request);
    }

    private int reportedVoters() throws InterruptedException {
        // The membership is known after the first step of the replica.
        while (mReplica.membership().voters().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return sync().getVoters();
    }

    /** Guards against a controller without a vote that counts towards a majority of the voters. */
    @ParameterizedTest
    @CsvSource({"VOTER, 3", "LEARNER, 0"})
    void onlyVotersReportTheNumberOfVoters(MemberKind kind, int reported) throws Exception {
        restart(kind);
        assertEquals(reported, reportedVoters());
    }

    /**
     * Guards against an acknowledged table that gateways do not hear of until there is a leader: a
     * voter reports the tables of its log, whether they are committed or not.
     */
    @ParameterizedTest
    @CsvSource({"VOTER, true", "LEARNER, false"})
    void votersReportTheTablesOfTheirLogs(MemberKind kind, boolean isVoter) throws Exception {
        restart(kind);
        reportedVoters();
        SyncRequest request = mService.createRequest(UNREACHABLE, Map.of());
        request.setPrefixUses(List.of());
        request.setListTablesAbove(TABLE_VERSION - 1);
        request.setMaxTableBytes(1_000);
        SyncReply reply = mService.sync(request);
        assertEquals(isVoter, reply.isSetLoggedTableVersion());
        if (!isVoter) {
            return;
        }
        assertEquals(TABLE_VERSION, reply.getLoggedTableVersion());
        assertEquals(1, reply.getLoggedTablesSize());
        assertEquals(TABLE_VERSION, reply.getLoggedTables().get(0).getVersion());
        assertTrue(reply.getLoggedTables().get(0).isSetDocument());
        request.setMaxTableBytes(0);
        assertFalse(mService.sync(request).getLoggedTables().get(0).isSetDocument());
        request.setListTablesAbove(TABLE_VERSION);
        assertEquals(0, mService.sync(request).getLoggedTablesSize());
    }

    private void receiveConfirmation(long revision) {
        SyncReply reply = new SyncReply();
        reply.setServers(List.of());
        reply.setRevision(revision);
        reply.setConfirmedAgeMillis(0);
        mService.onReply(UNREACHABLE, reply, Map.of(), mLoop.nowNanos());
    }

    /**
     * Guards against a lagging controller that confirms its old state to gateways: contact with a
     * leader, or with a controller that is ahead, does not make its own state current.
     */
    @Test
    void onlyTheConfirmedStateIsConfirmed() {
        restart(MemberKind.VOTER);
        ControlState committed = ControlState.create();
        committed.apply(2, 0, ControlCommand.publishTable(TABLE_VERSION, new byte[] {1}));
        mService.publishCommitted(committed);
        assertFalse(sync().isSetConfirmedAgeMillis());
        receiveConfirmation(3);
        assertFalse(sync().isSetConfirmedAgeMillis());
        receiveConfirmation(2);
        assertTrue(sync().isSetConfirmedAgeMillis());
    }

    private static CompletableFuture<ConfirmedReads.Answer<byte[]>> readTable(
            ControllerService service, Responder caller) {
        return service.reads().readTable(caller);
    }

    private static void assertRefused(CompletableFuture<?> read) {
        ExecutionException refusal =
                assertThrows(ExecutionException.class, () -> read.get(10, TimeUnit.SECONDS));
        HemlockrackException cause =
                assertInstanceOf(HemlockrackException.class, refusal.getCause());
        assertEquals(ErrorKind.NO_QUORUM, cause.kind());
    }

    private void publishTableDocument(byte[] document) {
        ControlState committed = ControlState.create();
        committed.apply(
                2, 0, ControlCommand.publishTable(TABLE_VERSION, Deflate.deflate(document)));
        mService.publishCommitted(committed);
    }

    /**
     * Guards against an older configuration than one that was acknowledged before the read: a
     * confirmation of before the read, or of a state that this controller lacks, is not enough.
     */
    @Test
    void readWithoutANewConfirmationIsRefused() throws Exception {
        restart(MemberKind.VOTER);
        publishTableDocument(new byte[] {1});
        receiveConfirmation(2);
        CompletableFuture<ConfirmedReads.Answer<byte[]>> read =
                readTable(mService, new WaitingCaller());
        for (int i = 0; i < 20; i++) {
            receiveConfirmation(3);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertFalse(read.isDone());
        assertRefused(read);
    }

    /** Guards against reads that only the leader answers, over its link. */
    @Test
    void readIsAnsweredOnceTheStateIsConfirmed() throws Exception {
        restart(MemberKind.VOTER);
        byte[] document = {1, 2, 3};
        publishTableDocument(document);
        CompletableFuture<ConfirmedReads.Answer<byte[]>> read =
                readTable(mService, new WaitingCaller());
        CompletableFuture<ConfirmedReads.Answer<TrafficMove>> moveRead =
                mService.reads().readMove(ServiceId.of("s"), new WaitingCaller());
        while (!read.isDone() || !moveRead.isDone()) {
            receiveConfirmation(2);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertArrayEquals(document, read.get().value());
        assertNull(read.get().leader());
        assertNull(moveRead.get().value());
    }

    /** Guards against reads that take the place of others after their callers have left. */
    @Test
    void readEndsWithItsCaller() throws Exception {
        restart(MemberKind.VOTER);
        List<WaitingCaller> callers = new ArrayList<>();
        List<CompletableFuture<?>> reads = new ArrayList<>();
        for (int i = 0; i < WaitingReads.MAX_READS; i++) {
            callers.add(new WaitingCaller());
            reads.add(readTable(mService, callers.get(i)));
        }
        assertRefused(readTable(mService, new WaitingCaller()));
        mLoop.submit(() -> 0).get();
        callers.get(0).leave();
        assertThrows(ExecutionException.class, () -> reads.get(0).get(10, TimeUnit.SECONDS));
        CompletableFuture<?> next = readTable(mService, new WaitingCaller());
        mLoop.submit(() -> 0).get();
        assertFalse(next.isDone());
    }

    private SyncReply syncWithoutTable(String gateway) {
        SyncRequest request = mService.createRequest(UNREACHABLE, Map.of());
        request.setSender(gateway);
        request.setPrefixUses(List.of());
        request.setHaveTableVersion(0);
        request.setListTablesAbove(0);
        request.setMaxTableBytes(1_000);
        return mService.sync(request);
    }

    /**
     * Guards against a link that is full of tables: after a change all gateways fetch the table at
     * once, heartbeats wait behind the replies, and the leader loses its followers.
     */
    @Test
    void tablesOnTheWayToGatewaysAreBounded() throws Exception {
        restart(MemberKind.VOTER);
        reportedVoters();
        byte[] document = new byte[TableSends.MAX_UNCONFIRMED_BYTES / 2 - 1_000];
        ControlState committed = ControlState.create();
        committed.apply(2, 0, ControlCommand.publishTable(TABLE_VERSION, document));
        mService.publishCommitted(committed);
        assertTrue(syncWithoutTable("g1").isSetTableDocument());
        assertTrue(syncWithoutTable("g2").isSetTableDocument());
        SyncReply bounded = syncWithoutTable("g3");
        assertFalse(bounded.isSetTableDocument());
        assertEquals(TABLE_VERSION, bounded.getTableVersion());
        assertTrue(bounded.getLoggedTables().stream().noneMatch(LoggedTableData::isSetDocument));
        assertEquals(1, mService.deferredTables());
        // The next request of a gateway shows that it has the table.
        assertTrue(syncWithoutTable("g1").isSetTableDocument());
    }

    /** A caller that waits for its answer until it leaves. */
    private static final class WaitingCaller extends AbsentCaller {
        private volatile Runnable mOnCancel = () -> {};

        void leave() {
            mOnCancel.run();
        }

        @Override
        public void onCancel(Runnable action) {
            mOnCancel = action;
        }
    }

    /** A caller that has left before its order is read. */
    private static class AbsentCaller implements Responder {
        @Override
        public CompletableFuture<Boolean> checkConnected() {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {}

        @Override
        public int write(ByteBuffer data) {
            return 0;
        }

        @Override
        public int queuedBytes() {
            return 0;
        }

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onDrain(DrainListener action) {}
    }

    /** Guards against orders that are proposed although their callers may have given newer ones. */
    @Test
    void orderOfAnAbsentCallerIsDropped() {
        restart(MemberKind.VOTER);
        Responder absent = new AbsentCaller();
        for (CompletableFuture<Void> order :
                List.of(
                        mService.setZoneEvacuated(ZoneId.of("a"), false, absent),
                        mService.startMove(ServiceId.of("s"), "v2", 1_000, absent),
                        mService.recordDeparture(SERVER, absent))) {
            ExecutionException refusal = assertThrows(ExecutionException.class, order::get);
            assertEquals("the caller has left", refusal.getCause().getMessage());
        }
    }

    /**
     * Guards against threads that wait for exchanges whose callers gave up long ago: each caller
     * connects again and blocks one more, until none is left for the messages of the log.
     */
    @Test
    void exchangeThatWaitsTooLongIsRefused() throws Exception {
        restart(MemberKind.VOTER);
        ControllerPeerHandler handler =
                new ControllerPeerHandler(SELF.value(), mReplica, mService, null, mLog);
        SyncRequest request = mService.createRequest(UNREACHABLE, Map.of());
        request.setPrefixUses(List.of());
        List<CompletableFuture<SyncReply>> exchanges = new ArrayList<>();
        CompletableFuture<Object> first = new CompletableFuture<>();
        synchronized (mService) {
            for (int i = 0; i < 20; i++) {
                CompletableFuture<SyncReply> exchange = new CompletableFuture<>();
                exchanges.add(exchange);
                Thread thread = new Thread(() -> exchange(handler, request, exchange));
                thread.setDaemon(true);
                thread.start();
                exchange.exceptionally(
                        cause -> {
                            first.complete(cause);
                            return null;
                        });
            }
            assertInstanceOf(TException.class, first.get(10, TimeUnit.SECONDS));
        }
        int answered = 0;
        for (CompletableFuture<SyncReply> exchange : exchanges) {
            boolean isAnswered =
                    exchange.handle((reply, cause) -> cause == null).get(10, TimeUnit.SECONDS);
            answered += isAnswered ? 1 : 0;
        }
        assertTrue(answered > 0);
    }

    private static void exchange(
            ControllerPeerHandler handler,
            SyncRequest request,
            CompletableFuture<SyncReply> exchange) {
        try {
            exchange.complete(handler.sync(request));
        } catch (TException e) {
            exchange.completeExceptionally(e);
        }
    }
}
