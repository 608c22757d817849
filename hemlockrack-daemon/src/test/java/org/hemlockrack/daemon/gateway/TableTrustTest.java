package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.limits.ByteBudget;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.registry.ServerRegistry;
import org.hemlockrack.routing.RerunPolicy;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.routing.WeightedService;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which requests a gateway serves by a table that no leader has confirmed for some time. */
class TableTrustTest {
    private static final String HOST = "shop.example";
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final int VOTERS = 3;

    /** The same in all tables. */
    private static final String SAME = "/same/";

    /** Leads to another service from table 8 on. */
    private static final String MOVED = "/moved/";

    /** Longer than a confirmation of the table counts. */
    private static final long STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("g1", new ByteArrayOutputStream());
    private final HttpClient mClient = HttpClient.open(1, 250, 60_000, true);
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("g1"), Map.of(), null, (address, cause) -> {});
    private final GatewayState mState =
            GatewayState.create(ServerPool.create(ZONE, new SplittableRandom(1)));
    private final GatewayQuarantine mQuarantine = GatewayQuarantine.create(mLog);
    private final QueueService mQueues =
            QueueService.create(mLoop, mState, Metrics.create(), new SplittableRandom(1));
    private final RetryPermits mRetries =
            RetryPermits.create(mLoop, mNetwork, "g1/1", new RetryLimits(0.1, 10, 10));
    private final RouteProtocol mProtocol = new RouteProtocol();
    private final GatewayViewUpdater mUpdater =
            new GatewayViewUpdater(
                    mLoop,
                    mNetwork,
                    "g1/1",
                    mProtocol,
                    mState,
                    mRetries,
                    mQuarantine,
                    DutyReports.create(ZoneId.of("a")),
                    mQueues,
                    mLog);
    private final List<HttpServer> mServers = new ArrayList<>();
    private GatewayHandler mHandler;

    /** A protocol whose documents are a version and the service of the moved route. */
    private static final class RouteProtocol extends StubProtocol {
        @Override
        public RequestMetadata readRequest(HttpCall call) {
            return new RequestMetadata("request-1", HOST, -1, null, List.of());
        }

        @Override
        public List<HeaderField> forwardHeaders(
                HttpCall call,
                Registration server,
                @Nullable String workspace,
                int rank,
                long remainingMillis,
                @Nullable String resumeAfterEventId) {
            return List.of();
        }

        @Override
        public AnswerMetadata readAnswerHead(int status, List<HeaderField> headers) {
            return new AnswerMetadata("request-1", true, false, false, false, -1);
        }

        static byte[] document(long version) {
            String service = version < 8 ? "old" : "new";
            return (version + ":" + service).getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public RouteTable parseRouteTable(byte[] document) {
            String[] parts = new String(document, StandardCharsets.US_ASCII).split(":");
            return RouteTable.of(
                    Long.parseLong(parts[0]),
                    List.of(route(SAME, "old"), route(MOVED, parts[1])),
                    List.of(service("old"), service("new")),
                    null);
        }

        private static ServiceSpec service(String name) {
            return new ServiceSpec(ServiceId.of(name), 10, 0, 0);
        }

        private static Route route(String path, String service) {
            return new Route(
                    path,
                    HOST,
                    path,
                    RerunPolicy.IDEMPOTENT,
                    false,
                    10_000,
                    1_000,
                    0,
                    0,
                    List.of(new WeightedService(ServiceId.of(service), 1)),
                    1,
                    true,
                    false);
        }
    }

    /** Keeps the body of a success, or the status of a failure. */
    private static final class Caller implements Responder {
        final CompletableFuture<String> mAnswer = new CompletableFuture<>();
        private final StringBuilder mBody = new StringBuilder();
        private int mStatus;

        @Override
        public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
            mStatus = status;
        }

        @Override
        public int write(ByteBuffer data) {
            mBody.append(StandardCharsets.UTF_8.decode(data));
            return 0;
        }

        @Override
        public int queuedBytes() {
            return 0;
        }

        @Override
        public void end() {
            mAnswer.complete(mStatus == 200 ? mBody.toString() : String.valueOf(mStatus));
        }

        @Override
        public void abort() {
            mAnswer.complete("aborted");
        }

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onDrain(DrainListener action) {}
    }

    @BeforeEach
    void start() throws IOException {
        ServerRegistry registry = ServerRegistry.create();
        Map<String, Integer> ports = new HashMap<>();
        for (String service : List.of("old", "new")) {
            HttpServer server =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            server.createContext(
                    "/",
                    exchange -> {
                        byte[] body = service.getBytes(StandardCharsets.US_ASCII);
                        exchange.sendResponseHeaders(200, body.length);
                        exchange.getResponseBody().write(body);
                        exchange.close();
                    });
            server.start();
            mServers.add(server);
            ports.put(service, server.getAddress().getPort());
            registry.recordHeartbeat(
                    mLoop.nowNanos(),
                    new Registration(
                            BackendId.of("server-" + service),
                            1,
                            1,
                            ServiceId.of(service),
                            "127.0.0.1:" + ports.get(service),
                            ZONE,
                            "v1",
                            4,
                            false,
                            0),
                    0);
        }
        mState.mergeServers(mLoop.nowNanos(), registry.changesSince(mLoop.nowNanos(), 0));
        GatewayContext context =
                new GatewayContext(
                        mLoop,
                        mProtocol,
                        mState,
                        mRetries,
                        mQuarantine,
                        DutyReports.create(ZoneId.of("a")),
                        mQueues,
                        mClient,
                        mClient,
                        OpenExchanges.create(),
                        ByteBudget.of(1 << 20),
                        mLog,
                        Metrics.create(),
                        new SplittableRandom(1));
        mHandler = new GatewayHandler(context, mUpdater);
    }

    @AfterEach
    void close() {
        mServers.forEach(server -> server.stop(0));
        mClient.close();
        mNetwork.close();
        mLoop.close();
        mLog.close();
    }

    /** A controller that restarted with some tables in its log. */
    private final class Controller {
        private final String mAddress;
        private final List<Long> mLogged;
        private int mVoters = VOTERS;
        private long mSettledTerm;
        private long mRevision;
        private boolean mEvacuates;

        /** Whether it lists its tables without their documents, as if they were too long. */
        private boolean mOmitsDocuments;

        Controller(String address, Long... logged) {
            mAddress = address;
            mLogged = List.of(logged);
        }

        private SyncReply reply(SyncRequest request) {
            SyncReply reply = new SyncReply();
            long newest = mLogged.get(mLogged.size() - 1);
            reply.setTableVersion(newest);
            reply.setRevision(mRevision);
            Set<ZoneId> evacuated = mEvacuates ? Set.of(ZONE) : Set.of();
            reply.setFacts(new RoutingOverrides(evacuated, Map.of(), Map.of()).toData());
            reply.setVoters(mVoters);
            reply.setServers(List.of());
            reply.setFleetInFlight(List.of());
            reply.setControllers(List.of());
            reply.setPrefixUses(List.of());
            if (mVoters > 0) {
                reply.setLoggedTableVersion(newest);
                reply.setLoggedTables(listTables(request));
                reply.setSettledTerm(mSettledTerm);
                reply.setSettledRevision(mRevision);
            }
            return reply;
        }

        private List<LoggedTableData> listTables(SyncRequest request) {
            List<LoggedTableData> listed = new ArrayList<>();
            for (long version : mLogged) {
                if (version <= request.getListTablesAbove()) {
                    continue;
                }
                LoggedTableData data = new LoggedTableData(version);
                if (request.getMaxTableBytes() > 0 && !mOmitsDocuments) {
                    data.setDocument(Deflate.deflate(RouteProtocol.document(version)));
                }
                listed.add(data);
            }
            return listed;
        }

        private SyncRequest request() {
            SyncRequest request = mUpdater.createRequest(mAddress, Map.of());
            request.setPrefixUses(List.of());
            return request;
        }

        /** Answers without a leader, at once. */
        void answer() {
            answer(0);
        }

        /** Answers without a leader, some time after it was asked. */
        void answer(long delayNanos) {
            SyncReply reply = reply(request());
            reply.setCaughtUp(false);
            mUpdater.onReply(mAddress, reply, Map.of(), mLoop.nowNanos() - delayNanos);
        }

        /** Answers twice: the second answer holds the tables that the gateway asked for. */
        void answerTwice() {
            answer();
            answer();
        }

        /** Reports the newest table as committed, without the table itself. */
        void confirmWithoutTable(long ageNanos) {
            SyncReply reply = reply(request());
            reply.setCaughtUp(true);
            reply.setConfirmedAgeMillis(0);
            mUpdater.onReply(mAddress, reply, Map.of(), mLoop.nowNanos() - ageNanos);
        }

        /** Reports the newest table as committed. */
        void confirm(long ageNanos) {
            SyncReply reply = reply(request());
            reply.setCaughtUp(true);
            reply.setConfirmedAgeMillis(0);
            reply.setTableDocument(
                    Deflate.deflate(RouteProtocol.document(reply.getTableVersion())));
            mUpdater.onReply(mAddress, reply, Map.of(), mLoop.nowNanos() - ageNanos);
        }
    }

    /** Sends a request and returns the service that answered, or the status of a failure. */
    private String send(String path) throws Exception {
        Caller caller = new Caller();
        mHandler.handle(new HttpCall("GET", path + "x", null, List.of(), new byte[0]), caller);
        return caller.mAnswer.get(10, TimeUnit.SECONDS);
    }

    /** Gives the gateway table 7, which nobody has confirmed since. */
    private void startWithStaleTable() throws Exception {
        new Controller("a", 7L).confirm(STALE_NANOS);
        assertEquals("old", send(MOVED));
    }

    /**
     * Guards against a request that is handled by a replaced table after all controllers restarted:
     * the gateway ignored the newer table that a majority of them reported from their disks.
     */
    @Test
    void replacedTableIsNotUsedOnceAMajorityReportsANewerOne() throws Exception {
        startWithStaleTable();
        new Controller("a", 7L, 8L).answerTwice();
        new Controller("b", 7L, 8L).answer();
        assertEquals("503", send(MOVED));
        assertEquals("old", send(SAME));
    }

    /**
     * Guards against a table in force that was never acknowledged and is lost later: one disk of a
     * majority has it. It may also be acknowledged, so the older one is not used either.
     */
    @Test
    void tableOnOneDiskOfAMajorityIsNotUsed() throws Exception {
        startWithStaleTable();
        new Controller("a", 7L, 8L).answerTwice();
        new Controller("b", 7L).answer();
        assertEquals("503", send(MOVED));
        assertEquals("old", send(SAME));
        assertEquals(7, mUpdater.view().tableVersion());
    }

    /** Guards against a gateway that stops serving because it reaches no majority. */
    @Test
    void gatewayWithoutAMajorityGoesOnServing() throws Exception {
        startWithStaleTable();
        new Controller("a", 7L, 8L).answerTwice();
        assertEquals("old", send(MOVED));
        Controller withEmptyDisk = new Controller("b", 0L);
        withEmptyDisk.mVoters = 0;
        withEmptyDisk.answer();
        assertEquals("old", send(MOVED));
        new Controller("c", 7L, 8L).answer(STALE_NANOS);
        assertEquals("old", send(MOVED), "an answer that took so long proves nothing");
        mUpdater.onReachabilityChanged("a", false);
        assertEquals("old", send(MOVED));
    }

    /** Guards against a controller that was replaced and still counts with its old report. */
    @Test
    void reportOfAReplacedControllerDoesNotCount() throws Exception {
        startWithStaleTable();
        new Controller("a", 7L, 8L).answerTwice();
        new Controller("b", 7L, 8L).answer();
        assertEquals("503", send(MOVED));
        Controller replaced = new Controller("b", 0L);
        replaced.mVoters = 0;
        replaced.answer();
        assertEquals("old", send(MOVED));
    }

    /** Guards against refusals while no leader is known, although no newer table can exist. */
    @Test
    void majorityOfDisksConfirmsTheNewestTable() throws Exception {
        startWithStaleTable();
        assertEquals("503", send("/unknown/"));
        new Controller("a", 6L).answer();
        assertEquals("503", send("/unknown/"));
        new Controller("b", 6L, 7L).answer();
        assertEquals("old", send(MOVED));
        assertEquals("404", send("/unknown/"));
    }

    /** Guards against refusals while tables are fetched that the first report could bring. */
    @Test
    void firstReportBringsTheNewerTables() throws Exception {
        startWithStaleTable();
        mUpdater.onReachabilityChanged("a", false);
        new Controller("a", 7L, 8L).answer();
        new Controller("b", 7L, 8L).answer();
        assertEquals("old", send(SAME));
        assertEquals("503", send(MOVED));
    }

    /** Guards against refusals until there is a leader, although the newest table is certain. */
    @Test
    void tableThatCannotBeLostIsUsedWithoutALeader() throws Exception {
        startWithStaleTable();
        Controller first = new Controller("a", 7L, 8L);
        Controller second = new Controller("b", 7L, 8L);
        first.mSettledTerm = 3;
        first.answerTwice();
        second.answer();
        assertEquals("503", send(MOVED));
        second.mSettledTerm = 3;
        second.answer();
        assertEquals("new", send(MOVED));
        assertEquals("404", send("/unknown/"));
    }

    /**
     * Guards against requests into a zone whose evacuation was acknowledged right before all
     * controllers were lost, and against an evacuation in force that only one disk has.
     */
    @Test
    void evacuationThatCannotBeLostIsInForceWithoutALeader() throws Exception {
        startWithStaleTable();
        Controller first = new Controller("a", 7L);
        Controller second = new Controller("b", 7L);
        Controller third = new Controller("c", 7L);
        for (Controller each : List.of(first, second, third)) {
            each.mSettledTerm = 3;
            each.mRevision = 11;
            each.mEvacuates = true;
        }
        second.mRevision = 10;
        second.mEvacuates = false;
        first.answer();
        second.answer();
        assertEquals(Set.of(), mUpdater.view().overrides().evacuatedZones());
        third.answer();
        assertEquals(Set.of(ZONE), mUpdater.view().overrides().evacuatedZones());
    }

    /** Guards against a table between two others that is left out of the comparison. */
    @Test
    void everyNewerTableCounts() throws Exception {
        startWithStaleTable();
        Controller controller = new Controller("a", 8L, 9L);
        controller.mOmitsDocuments = true;
        controller.answerTwice();
        new Controller("b", 7L).answer();
        assertEquals("503", send(SAME), "the newer tables are not known");
        new Controller("c", 8L, 9L).answerTwice();
        assertEquals("503", send(MOVED));
    }

    /**
     * Guards against a table that is used without end while a newer committed one is fetched, since
     * it is long or the fetch breaks off.
     */
    @Test
    void replacedTableIsNotUsedWhileTheNewerOneIsFetched() throws Exception {
        new Controller("a", 7L).confirm(0);
        Controller newer = new Controller("a", 8L);
        newer.mOmitsDocuments = true;
        newer.confirmWithoutTable(0);
        assertEquals("old", send(MOVED), "the newer table may have been acknowledged just now");
        TimeUnit.NANOSECONDS.sleep(STALE_NANOS);
        newer.confirmWithoutTable(0);
        Controller other = new Controller("b", 8L);
        other.mOmitsDocuments = true;
        other.confirmWithoutTable(0);
        assertEquals("503", send(MOVED));
        newer.confirm(0);
        assertEquals("new", send(MOVED));
    }

    /** Guards against a committed table that is fetched again although it was fetched before. */
    @Test
    void fetchedTableIsUsedOnceItIsCommitted() throws Exception {
        startWithStaleTable();
        Controller controller = new Controller("a", 7L, 8L);
        controller.answerTwice();
        new Controller("b", 7L, 8L).answer();
        controller.confirmWithoutTable(0);
        assertEquals("new", send(MOVED));
    }

    /**
     * Guards against a gateway that starts while the controllers have no leader and uses a table
     * that only one disk has, or none at all.
     */
    @Test
    void startedGatewayUsesTheNewestTableOfAMajority() throws Exception {
        Controller ahead = new Controller("a", 7L, 8L);
        Controller behind = new Controller("b", 6L, 7L);
        ahead.answer();
        assertEquals("503", send(SAME));
        behind.answer();
        behind.answer();
        ahead.answerTwice();
        assertEquals(7, mUpdater.view().tableVersion());
        assertEquals("old", send(SAME));
        assertEquals("503", send(MOVED));
    }
}
