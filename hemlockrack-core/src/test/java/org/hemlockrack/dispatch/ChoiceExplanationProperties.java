package org.hemlockrack.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.capacity.ReportedLoad;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.control.MoveStatus;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.routing.ServiceSpec;
import org.hemlockrack.wire.PrefixUseData;

/** Compares a pool that is asked for explanations with one that is not. */
class ChoiceExplanationProperties {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final int STEPS = 250;
    private static final int SERVERS = 7;
    private static final String[] ZONES = {"a", "b", "c"};

    /** Two pools with one seed, to which the same happens. */
    private static final class History {
        private final SplittableRandom mRandom;
        private final ServerPool mAsked;
        private final ServerPool mUnasked;
        private final List<Registration> mStarted = new ArrayList<>();
        private final Set<Integer> mReasons;
        private long mNowNanos;

        private History(long seed, Set<Integer> reasons) {
            mRandom = new SplittableRandom(seed);
            mReasons = reasons;
            SchedulingMode mode = mRandom.nextBoolean() ? SchedulingMode.ON : SchedulingMode.OFF;
            long poolSeed = mRandom.nextLong();
            mAsked = ServerPool.create(ZoneId.of("a"), new SplittableRandom(poolSeed), mode);
            mUnasked = ServerPool.create(ZoneId.of("a"), new SplittableRandom(poolSeed), mode);
        }

        private void both(Consumer<ServerPool> action) {
            action.accept(mAsked);
            action.accept(mUnasked);
        }

        private SelectionCriteria drawCriteria() {
            long key = mRandom.nextInt(3) == 0 ? 0 : 1 + mRandom.nextInt(3);
            Set<BackendId> tried = new HashSet<>();
            while (mRandom.nextInt(4) == 0) {
                tried.add(BackendId.of("i-" + mRandom.nextInt(SERVERS)));
            }
            return new SelectionCriteria(SERVICE, key, mRandom.nextDouble(), tried, "r");
        }

        private void update() {
            List<RegisteredServer> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                if (mRandom.nextInt(8) > 0) {
                    servers.add(drawServer(i));
                }
            }
            Set<ZoneId> evacuated = mRandom.nextInt(4) == 0 ? Set.of(ZoneId.of("b")) : Set.of();
            Map<ServiceId, TrafficMove> moves = new HashMap<>();
            if (mRandom.nextInt(3) == 0) {
                MoveStatus status = MoveStatus.values()[mRandom.nextInt(3)];
                moves.put(SERVICE, new TrafficMove(SERVICE, "v2", status, 300, 0, 0));
            }
            RoutingOverrides overrides = new RoutingOverrides(evacuated, moves, Map.of());
            ServiceSpec spec = new ServiceSpec(SERVICE, 600, 6, mRandom.nextInt(2) * 4);
            RouteTable table = RouteTable.of(1, List.of(), List.of(spec), null);
            both(pool -> pool.update(mNowNanos, servers, overrides, table));
        }

        private RegisteredServer drawServer(int number) {
            Registration registration =
                    new Registration(
                            BackendId.of("i-" + number),
                            1 + mRandom.nextInt(2),
                            1,
                            SERVICE,
                            "10.0.0." + number + ":80",
                            ZoneId.of(ZONES[number % ZONES.length]),
                            number % 2 == 0 ? "v1" : "v2",
                            4,
                            mRandom.nextInt(20) == 0,
                            0);
            long coldUntilNanos = mNowNanos + TimeUnit.SECONDS.toNanos(mRandom.nextInt(3));
            return new RegisteredServer(registration, mNowNanos, coldUntilNanos);
        }

        private void choose() {
            SelectionCriteria criteria = drawCriteria();
            if (mRandom.nextInt(3) == 0) {
                mAsked.explain(mNowNanos, drawCriteria());
            }
            ChoiceExplanation explanation = mAsked.explain(mNowNanos, criteria);
            assertEquals(explanation, mAsked.explain(mNowNanos, criteria));
            ServerChoice asked = mAsked.choose(mNowNanos, criteria);
            assertEquals(mUnasked.choose(mNowNanos, criteria), asked);
            checkExplanation(explanation, asked);
            if (asked.server() != null) {
                mStarted.add(asked.server());
            }
        }

        private void checkExplanation(ChoiceExplanation explanation, ServerChoice real) {
            ServerChoice choice = explanation.choice();
            mReasons.add(choice.reason().ordinal());
            assertEquals(real.candidates(), choice.candidates());
            assertEquals(real.waitNanos(), choice.waitNanos());
            assertEquals(real.server() == null, choice.server() == null);
            if (!explanation.random()) {
                assertEquals(real.server(), choice.server());
                assertEquals(real.reason(), choice.reason());
            }
            for (ChoiceExplanation.Server each : explanation.servers()) {
                boolean chosen = each.registration().equals(choice.server());
                assertEquals(chosen, each.exclusion() == null, each.toString());
            }
        }

        private void recordOutcome() {
            if (mStarted.isEmpty()) {
                return;
            }
            Registration server = mStarted.remove(mRandom.nextInt(mStarted.size()));
            AttemptOutcome outcome =
                    mRandom.nextInt(3) > 0
                            ? AttemptOutcome.SERVED
                            : AttemptOutcome.values()[
                                    mRandom.nextInt(AttemptOutcome.values().length)];
            long delayNanos = TimeUnit.MILLISECONDS.toNanos(10 + mRandom.nextInt(200));
            int work = 50 + mRandom.nextInt(200);
            both(
                    pool -> {
                        pool.recordOutcome(mNowNanos, server.id(), outcome);
                        pool.recordReport(mNowNanos, server, ReportedLoad.ofWork(work));
                        pool.recordDelay(mNowNanos, server, "r", DelayKind.FIRST_PIECE, delayNanos);
                    });
        }

        private void recordNews() {
            BackendId id = BackendId.of("i-" + mRandom.nextInt(SERVERS));
            int load = mRandom.nextInt(12);
            int gateways = 1 + mRandom.nextInt(3);
            long key = 1 + mRandom.nextInt(3);
            both(
                    pool -> {
                        pool.updateFleetLoad(
                                mNowNanos,
                                new LoadSum("c", mNowNanos, Map.of(id, load), Map.of(), gateways));
                        pool.recordRemoteUses(
                                mNowNanos, List.of(new PrefixUseData(key, id.value())));
                    });
            if (!mStarted.isEmpty() && mRandom.nextInt(3) == 0) {
                long restNanos = TimeUnit.MILLISECONDS.toNanos(mRandom.nextInt(500));
                Registration server = mStarted.get(0);
                both(pool -> pool.recordRest(mNowNanos, server, restNanos));
            }
        }

        private void run() {
            update();
            for (int i = 0; i < STEPS; i++) {
                mNowNanos += TimeUnit.MILLISECONDS.toNanos(mRandom.nextInt(60));
                if (mRandom.nextInt(100) == 0) {
                    mNowNanos += TimeUnit.SECONDS.toNanos(mRandom.nextInt(150));
                }
                switch (mRandom.nextInt(16)) {
                    case 0 -> update();
                    case 1 -> recordNews();
                    case 2, 3, 4, 5, 6 -> recordOutcome();
                    default -> choose();
                }
            }
            assertEquals(mUnasked.ownLoad(), mAsked.ownLoad());
            assertEquals(
                    mUnasked.localUses().readFrom(0, Integer.MAX_VALUE).entries(),
                    mAsked.localUses().readFrom(0, Integer.MAX_VALUE).entries());
            assertEquals(mUnasked.limitedCount(mNowNanos), mAsked.limitedCount(mNowNanos));
            assertEquals(mUnasked.suspendedCount(mNowNanos), mAsked.suspendedCount(mNowNanos));
            assertEquals(
                    mUnasked.takeZoneSuspensions(mNowNanos), mAsked.takeZoneSuspensions(mNowNanos));
        }
    }

    /**
     * Asking where a request would go must not change where requests go: not the random sequence,
     * the pacing of cold servers, the known prefixes, health or learned limits. The explanation
     * must name the server that the next such request gets, unless random draws decide.
     */
    @Property(tries = 400, seed = "1")
    void explanationsChangeNoChoice(@ForAll long seed) {
        new History(seed, new HashSet<>()).run();
    }

    /** Guards against histories that exercise only a part of the decisions. */
    @Example
    void historiesReachEveryReason() {
        Set<Integer> reasons = new HashSet<>();
        for (int seed = 0; seed < 100; seed++) {
            new History(seed, reasons).run();
        }
        assertTrue(reasons.size() == ServerChoice.Reason.values().length, reasons.toString());
    }

    private static RegisteredServer serverOf(int number, String zone, boolean leaving) {
        Registration registration =
                new Registration(
                        BackendId.of("i-" + number),
                        1,
                        1,
                        SERVICE,
                        "10.0.0." + number + ":80",
                        ZoneId.of(zone),
                        number == 7 ? "v2" : "v1",
                        1,
                        leaving,
                        0);
        return new RegisteredServer(registration, 0, number == 8 ? Long.MAX_VALUE : 0);
    }

    /** An operator who looks for a missing server must read the condition that rules it out. */
    @Example
    void namesTheConditionThatRulesOutEachServer() {
        ServerPool pool = ServerPool.create(ZoneId.of("a"), new SplittableRandom(1));
        List<RegisteredServer> servers = new ArrayList<>();
        for (int i = 0; i < 13; i++) {
            servers.add(serverOf(i, i == 1 ? "b" : i > 9 ? "c" : "a", i == 0));
        }
        RoutingOverrides overrides =
                new RoutingOverrides(
                        Set.of(ZoneId.of("b")),
                        Map.of(
                                SERVICE,
                                new TrafficMove(SERVICE, "v2", MoveStatus.REVERTED, 0, 0, 0)),
                        Map.of(BackendId.of("i-2"), new RoutingOverrides.Departure(1, 0)));
        ServiceSpec spec = new ServiceSpec(SERVICE, 600, 0.1, 1);
        pool.update(0, servers, overrides, RouteTable.of(1, List.of(), List.of(spec), null));
        pool.recordOutcome(0, BackendId.of("i-3"), AttemptOutcome.BROKEN);
        pool.recordRest(0, servers.get(4).registration(), TimeUnit.SECONDS.toNanos(1));
        pool.updateFleetLoad(0, new LoadSum("c", 0, Map.of(BackendId.of("i-5"), 1), Map.of(), 1));
        for (int i = 10; i < 13; i++) {
            // Suspended servers of a zone are named by their own failure; the fourth by its zone.
            pool.recordOutcome(0, BackendId.of("i-" + i), AttemptOutcome.UNREACHABLE);
        }
        servers.add(serverOf(13, "c", false));
        pool.update(0, servers, overrides, RouteTable.of(1, List.of(), List.of(spec), null));
        SelectionCriteria criteria =
                new SelectionCriteria(SERVICE, 7, 0.5, Set.of(BackendId.of("i-6")), "r");
        Map<String, ServerExclusion> found = new HashMap<>();
        ChoiceExplanation explanation = pool.explain(0, criteria);
        explanation
                .servers()
                .forEach(each -> found.put(each.registration().id().value(), each.exclusion()));
        assertEquals(ServerExclusion.LEAVING, found.get("i-0"));
        assertEquals(ServerExclusion.ZONE_EVACUATED, found.get("i-1"));
        assertEquals(ServerExclusion.DRAINED, found.get("i-2"));
        assertEquals(ServerExclusion.SUSPENDED, found.get("i-3"));
        assertEquals(ServerExclusion.RESTING, found.get("i-4"));
        assertEquals(ServerExclusion.FULL, found.get("i-5"));
        assertEquals(ServerExclusion.TRIED, found.get("i-6"));
        assertEquals(ServerExclusion.VERSION_HELD_BACK, found.get("i-7"));
        assertEquals(ServerExclusion.COLD, found.get("i-8"));
        assertEquals("i-9", explanation.choice().server().id().value());
        assertEquals(ServerExclusion.SUSPENDED, found.get("i-12"));
        assertEquals(ServerExclusion.ZONE_SUSPENDED, found.get("i-13"));
    }
}
