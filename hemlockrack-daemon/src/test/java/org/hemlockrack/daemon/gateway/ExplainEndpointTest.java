package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.operator.FakeResponder;
import org.hemlockrack.daemon.operator.HealthEndpoints;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.limits.ByteBudget;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.routing.RerunPolicy;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.routing.WeightedService;
import org.hemlockrack.routing.WorkspaceKeys;
import org.hemlockrack.wire.ServerData;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ExplainEndpointTest {
    private static final ServiceId SERVICE = ServiceId.of("orders");
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final String KEY = "key-4711";
    private static final int SLOTS = 2;
    private static final String REQUEST =
            "{\"host\":\"shop.example\",\"path\":\"/x\",\"key\":\"" + KEY + "\"}";

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final ByteArrayOutputStream mLogBytes = new ByteArrayOutputStream();
    private final DecisionLog mLog = DecisionLog.open("g1", mLogBytes);
    private final Metrics mMetrics = Metrics.create();
    private final PeerNetwork mNetwork =
            PeerNetwork.create(InstanceId.of("g1"), Map.of(), null, (address, cause) -> {});
    private final GatewayState mState =
            GatewayState.create(
                    ServerPool.create(ZONE, new SplittableRandom(1), SchedulingMode.ON));
    private @Nullable RouteTable mTable = createTable();

    @AfterEach
    void close() {
        mNetwork.close();
        mLoop.close();
        mLog.close();
        String log = mLogBytes.toString(StandardCharsets.UTF_8);
        assertFalse(log.contains(KEY), log);
    }

    private static RouteTable createTable() {
        Route route =
                new Route(
                        "r",
                        "shop.example",
                        "/",
                        RerunPolicy.IDEMPOTENT,
                        false,
                        10_000,
                        1_000,
                        0,
                        2,
                        List.of(new WeightedService(SERVICE, 1)),
                        1,
                        false,
                        false);
        ServiceSpec spec = new ServiceSpec(SERVICE, 100, 0, SLOTS);
        WorkspaceKeys keys = new WorkspaceKeys(WorkspaceId.of("w"), List.of(KEY), -1);
        return RouteTable.of(7, List.of(route), List.of(spec), List.of(keys));
    }

    private void registerServer() {
        mState.adoptView(
                System.nanoTime(), new GatewayView(createTable(), RoutingOverrides.NONE, 1));
        mState.mergeServers(
                System.nanoTime(),
                List.of(
                        new ServerData(
                                "s1",
                                1,
                                1,
                                "orders",
                                "10.0.0.1:80",
                                "a",
                                "v1",
                                SLOTS,
                                false,
                                0,
                                0)));
    }

    private CallHandler createHandler(String settings) {
        QueueService queues = QueueService.create(mLoop, mState, mMetrics, new SplittableRandom(1));
        GatewayContext context =
                new GatewayContext(
                        mLoop,
                        new StubProtocol(),
                        mState,
                        RetryPermits.create(mLoop, mNetwork, "g1", new RetryLimits(0.1, 10, 10)),
                        GatewayQuarantine.create(mLog),
                        DutyReports.create(ZONE),
                        queues,
                        null,
                        null,
                        OpenExchanges.create(),
                        ByteBudget.of(1),
                        mLog,
                        mMetrics,
                        new SplittableRandom(1));
        TableStanding standing =
                new TableStanding(mTable, System.nanoTime(), null, null, 0, List.of(), true);
        String listen = "callers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n";
        String instance = "id = \"g1\"\nzone = \"a\"\nrole = \"gateway\"\n";
        return ExplainEndpoint.wrap(
                Settings.parse("t", "[instance]\n" + instance + "[listen]\n" + listen + settings),
                RequestExplainer.create(context, () -> standing, version -> true),
                HealthEndpoints.create(() -> true, mMetrics)::handleOrRefuse);
    }

    private FakeResponder.Response ask(String settings, String body) {
        FakeResponder responder = new FakeResponder();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        createHandler(settings)
                .handle(new HttpCall("POST", "/explain", null, List.of(), bytes), responder);
        FakeResponder.Response response = responder.await();
        assertFalse(response.json().toString().contains(KEY), response.json().toString());
        return response;
    }

    private FakeResponder.Response ask(String body) {
        return ask("[operators]\nexplain = true", body);
    }

    /**
     * The endpoint must be off unless it is turned on, as the port is open to whoever reaches it.
     */
    @Test
    void isNotFoundUnlessTurnedOn() {
        registerServer();
        assertEquals(404, ask("", REQUEST).status());
        assertEquals(200, ask(REQUEST).status());
    }

    /** Errors must not repeat a key, wherever it is in a malformed body. */
    @Test
    void invalidInputIsRefusedWithoutTheKey() {
        String host = "{\"host\":\"shop.example\",\"path\":\"/x\",";
        List<String> bodies =
                List.of(
                        "",
                        KEY,
                        "[]",
                        REQUEST + KEY,
                        "{\"path\":\"/x\"}",
                        host + "\"" + KEY + "\":1}",
                        host + "\"key\":[\"" + KEY + "\"]}",
                        host + "\"prompt_part_ids\":[1]}",
                        REQUEST.replace("/x", "x"));
        for (String body : bodies) {
            assertEquals(400, ask(body).status(), body);
        }
    }

    @Test
    void isNotReadyWithoutATable() {
        mTable = null;
        assertEquals(503, ask(REQUEST).status());
    }

    /** Guards against an explanation that counts, and against one that differs from the request. */
    @Test
    void explainsWithoutCounting() {
        registerServer();
        String metrics = mMetrics.render();
        FakeResponder.Response response = ask(REQUEST);
        assertEquals("s1", response.json().at("/server/id").asText());
        assertEquals("w", response.json().path("workspace").asText());
        assertEquals(2, response.json().path("rank").asInt());
        assertEquals(response, ask(REQUEST));
        assertEquals(metrics, mMetrics.render());
        assertEquals(Map.of(), mState.ownLoad());
        String unknown = REQUEST.replace(KEY, "other");
        assertEquals("UNAUTHENTICATED", ask(unknown).json().at("/refusal/kind").asText());
    }

    /** A request to a full managed service waits; it is neither sent nor refused. */
    @Test
    void saysThatARequestWouldWait() {
        registerServer();
        for (int i = 0; i < SLOTS; i++) {
            mState.choose(System.nanoTime(), new SelectionCriteria(SERVICE, 0, 0, Set.of(), "r"));
        }
        FakeResponder.Response response = ask(REQUEST);
        assertEquals("waits", response.json().path("outcome").asText());
        assertEquals("NO_FREE_SLOT", response.json().path("wait_cause").asText());
        assertEquals("FULL", response.json().at("/servers/0/excluded").asText());
    }
}
