package org.hemlockrack.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
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
import org.junit.jupiter.api.Test;

class ServerPoolTest {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ZoneId HOME = ZoneId.of("a");
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final int SLOTS = 32;
    private static final double COLD_PER_SECOND = 24;

    private final List<RegisteredServer> mServers = new ArrayList<>();
    private final ServerPool mPool = ServerPool.create(HOME, new SplittableRandom(1));

    private void addServer(int number, String zone, String version, long coldUntilNanos) {
        Registration registration =
                new Registration(
                        BackendId.of("i-" + number),
                        1,
                        1,
                        SERVICE,
                        "10.0.0." + number + ":80",
                        ZoneId.of(zone),
                        version,
                        SLOTS,
                        false,
                        0);
        mServers.add(new RegisteredServer(registration, 0, coldUntilNanos));
    }

    private void addServers(int count) {
        for (int i = 1; i <= count; i++) {
            addServer(i, i % 2 == 0 ? "a" : "b", "v1", 0);
        }
        update(RoutingOverrides.NONE);
    }

    private void update(RoutingOverrides overrides) {
        ServiceSpec spec = new ServiceSpec(SERVICE, 600, COLD_PER_SECOND, SLOTS);
        mPool.update(0, mServers, overrides, RouteTable.of(1, List.of(), List.of(spec), null));
    }

    private static SelectionCriteria criteriaOf(long key, double draw) {
        return new SelectionCriteria(SERVICE, key, draw, Set.of());
    }

    private BackendId choose(long nowNanos, long key) {
        ServerChoice choice = mPool.choose(nowNanos, criteriaOf(key, 0.5));
        return choice.server() == null ? null : choice.server().id();
    }

    /**
     * Requests with one prompt prefix must not be spread over servers at low load, where each of
     * them would process the prefix again.
     */
    @Test
    void samePrefixGoesToTheSameServer() {
        addServers(8);
        Set<BackendId> chosen = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            BackendId id = choose(0, 77);
            chosen.add(id);
            mPool.recordOutcome(0, id, AttemptOutcome.SERVED);
        }
        assertEquals(1, chosen.size());
    }

    /** Hot key: one server must not receive all requests with the same prefix. */
    @Test
    void hotKeySpreadsWithinTheLoadBound() {
        addServers(8);
        Map<BackendId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            counts.merge(choose(0, 77), 1, Integer::sum);
        }
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(most <= 2 * 10 + 3, "one server has " + most + " of 80");
    }

    /**
     * Hot key: an evacuated zone must not raise the load bound of the remaining servers; its idle
     * servers count in the mean load too.
     */
    @Test
    void boundCountsServersOfEvacuatedZones() {
        addServers(8);
        update(RoutingOverrides.NONE);
        RoutingOverrides out = new RoutingOverrides(Set.of(ZoneId.of("b")), Map.of(), Map.of());
        update(out);
        Map<BackendId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 16; i++) {
            counts.merge(choose(0, 77), 1, Integer::sum);
        }
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(most <= 2 * 2 + 3, "one server has " + most + " of 16");
    }

    /** Burst: requests must be rejected instead of queued at full servers. */
    @Test
    void fullServersAreNotChosen() {
        addServers(2);
        for (int i = 0; i < 2 * SLOTS; i++) {
            assertNotEquals(null, choose(0, 0));
        }
        ServerChoice refused = mPool.choose(0, criteriaOf(0, 0.5));
        assertNull(refused.server());
        assertEquals(ServerChoice.Reason.ALL_FULL, refused.reason());
    }

    /** Evacuation under load: servers of an evacuated zone must not be chosen. */
    @Test
    void evacuatedZoneReceivesNoRequests() {
        addServers(6);
        update(new RoutingOverrides(Set.of(ZoneId.of("b")), Map.of(), Map.of()));
        for (int i = 0; i < 40; i++) {
            ServerChoice choice = mPool.choose(0, criteriaOf(i, 0.5));
            assertEquals(HOME, choice.server().zone());
        }
    }

    /**
     * Cold start: a cold server must not be overloaded by the usual load; each gateway must stay
     * within its share of the cold limit, and use most of it.
     */
    @Test
    void coldServerReceivesGatewayShareOfLimit() {
        addServer(1, "a", "v1", 10 * SECOND);
        update(RoutingOverrides.NONE);
        mPool.updateFleetLoad(0, new LoadSum("c", 0, Map.of(), Map.of(), 8));
        int granted = 0;
        for (long now = 0; now < 4 * SECOND; now += SECOND / 100) {
            BackendId id = choose(now, 0);
            if (id != null) {
                granted++;
                mPool.recordOutcome(now, id, AttemptOutcome.SERVED);
            }
        }
        double limit = COLD_PER_SECOND * 4 / 8;
        assertTrue(granted <= limit + 1, granted + " of " + limit + " in 4 s");
        assertTrue(granted >= limit / 2, granted + " of " + limit + " in 4 s");
    }

    /** Cold start: unused permits of many gateways must not add up to a burst. */
    @Test
    void manyGatewaysStayWithinTheColdLimit() {
        int gateways = 84;
        addServer(1, "a", "v1", 60 * SECOND);
        ServiceSpec spec = new ServiceSpec(SERVICE, 600, COLD_PER_SECOND, SLOTS);
        RouteTable table = RouteTable.of(1, List.of(), List.of(spec), null);
        List<ServerPool> pools = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            ServerPool pool = ServerPool.create(HOME, new SplittableRandom(i));
            pool.update(0, mServers, RoutingOverrides.NONE, table);
            pool.updateFleetLoad(0, new LoadSum("c", 0, Map.of(), Map.of(), gateways));
            pools.add(pool);
        }
        int most = 0;
        for (long start = 5 * SECOND; start < 15 * SECOND; start += SECOND) {
            int granted = 0;
            for (long now = start; now < start + SECOND; now += SECOND / 20) {
                for (ServerPool pool : pools) {
                    ServerChoice choice = pool.choose(now, criteriaOf(0, 0.5));
                    if (choice.server() != null) {
                        granted++;
                        pool.recordOutcome(now, choice.server().id(), AttemptOutcome.SERVED);
                    }
                }
            }
            most = Math.max(most, granted);
        }
        double allowed = COLD_PER_SECOND * 1.5 + 5;
        assertTrue(most <= allowed, most + " in a second, " + allowed + " are allowed");
    }

    /** Zone failure: not every request may wait for a connection to a dead server. */
    @Test
    void unreachableServerIsNotChosen() {
        addServers(4);
        BackendId dead = choose(0, 77);
        mPool.recordOutcome(0, dead, AttemptOutcome.UNREACHABLE);
        for (int i = 0; i < 10; i++) {
            assertNotEquals(dead, choose(SECOND / 10, 77));
        }
    }

    /**
     * Servers lost at peak load: when every remaining server is above the load bound of the whole
     * service, prefix affinity must still hold instead of spreading prompts over all servers.
     */
    @Test
    void scarceServersKeepPrefixAffinity() {
        addServers(6);
        update(new RoutingOverrides(Set.of(ZoneId.of("b")), Map.of(), Map.of()));
        Map<BackendId, Integer> load = new HashMap<>();
        for (int i = 1; i <= 6; i++) {
            load.put(BackendId.of("i-" + i), i % 2 == 0 ? 20 : 0);
        }
        mPool.updateFleetLoad(0, new LoadSum("c", 0, load, Map.of(), 1));
        Set<BackendId> chosen = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            BackendId id = choose(0, 77);
            chosen.add(id);
            mPool.recordOutcome(0, id, AttemptOutcome.SERVED);
        }
        assertEquals(1, chosen.size());
    }

    /** Servers lost at peak load: a hot prefix must be spread over the remaining servers. */
    @Test
    void scarceServersShareHotPrefix() {
        addServers(6);
        update(new RoutingOverrides(Set.of(ZoneId.of("b")), Map.of(), Map.of()));
        Map<BackendId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            counts.merge(choose(0, 77), 1, Integer::sum);
        }
        int most = counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(most <= 1.25 * 20 + 2, "one server has " + most + " of 60");
    }

    /** Burst: a server that rejected a request looks idle but must not be chosen again at once. */
    @Test
    void rejectingServerIsAvoidedBriefly() {
        addServers(4);
        BackendId full = BackendId.of("i-2");
        mPool.recordOutcome(0, full, AttemptOutcome.REJECTED);
        for (int i = 0; i < 20; i++) {
            BackendId id = choose(SECOND / 20, 0);
            assertNotEquals(full, id);
            mPool.recordOutcome(SECOND / 20, id, AttemptOutcome.SERVED);
        }
        Set<BackendId> later = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            later.add(choose(SECOND, 0));
        }
        assertTrue(later.contains(full));
    }

    /** Failing server: a server with a high failure rate must lose its share of requests. */
    @Test
    void failingServerIsAvoided() {
        addServers(4);
        BackendId bad = BackendId.of("i-2");
        for (int i = 0; i < 200; i++) {
            ServerChoice choice = mPool.choose(0, criteriaOf(0, 0.5));
            BackendId id = choice.server().id();
            mPool.recordOutcome(
                    0, id, id.equals(bad) ? AttemptOutcome.FAILED : AttemptOutcome.SERVED);
        }
        for (int i = 0; i < 20; i++) {
            BackendId id = choose(0, 0);
            assertNotEquals(bad, id);
            mPool.recordOutcome(0, id, AttemptOutcome.SERVED);
        }
    }

    /** Scale-out: servers that join must not take over prompts that others have cached. */
    @Test
    void joiningServersDoNotTakeCachedPrefixes() {
        addServers(4);
        Map<Long, BackendId> before = new HashMap<>();
        for (long key = 1; key <= 50; key++) {
            BackendId id = choose(0, key);
            before.put(key, id);
            mPool.recordOutcome(0, id, AttemptOutcome.SERVED);
        }
        for (int i = 5; i <= 8; i++) {
            addServer(i, "a", "v1", 0);
        }
        update(RoutingOverrides.NONE);
        for (long key = 1; key <= 50; key++) {
            BackendId id = choose(SECOND, key);
            assertEquals(before.get(key), id);
            mPool.recordOutcome(SECOND, id, AttemptOutcome.SERVED);
        }
    }

    /** Evacuation under load: gateways must use cached prefixes that other gateways reported. */
    @Test
    void prefixUsesOfOtherGatewaysCount() {
        addServers(8);
        BackendId first = choose(0, 77);
        mPool.recordOutcome(0, first, AttemptOutcome.SERVED);
        ServerPool other = ServerPool.create(HOME, new SplittableRandom(2));
        ServiceSpec spec = new ServiceSpec(SERVICE, 600, 0, SLOTS);
        RouteTable table = RouteTable.of(1, List.of(), List.of(spec), null);
        other.update(0, mServers, RoutingOverrides.NONE, table);
        BackendId copy = BackendId.of(first.equals(BackendId.of("i-1")) ? "i-2" : "i-1");
        other.recordRemoteUses(0, List.of(new PrefixUseData(77, copy.value())));
        assertEquals(copy, other.choose(0, criteriaOf(77, 0.5)).server().id());
    }

    /** Rollout: a new version receives its share of requests, and none after a rollback. */
    @Test
    void newVersionReceivesItsShare() {
        addServers(3);
        addServer(9, "a", "v2", 0);
        TrafficMove move = new TrafficMove(SERVICE, "v2", MoveStatus.IN_PROGRESS, 70, 0, 10_000);
        update(new RoutingOverrides(Set.of(), Map.of(SERVICE, move), Map.of()));
        int onNew = 0;
        for (int i = 0; i < 1_000; i++) {
            ServerChoice choice = mPool.choose(0, criteriaOf(0, i / 1_000.0));
            if (choice.server().softwareVersion().equals("v2")) {
                onNew++;
            }
            mPool.recordOutcome(0, choice.server().id(), AttemptOutcome.SERVED);
        }
        assertEquals(70, onNew);
        update(
                new RoutingOverrides(
                        Set.of(), Map.of(SERVICE, move.withStatus(MoveStatus.REVERTED)), Map.of()));
        for (int i = 0; i < 100; i++) {
            ServerChoice choice = mPool.choose(0, criteriaOf(0, i / 100.0));
            assertEquals("v1", choice.server().softwareVersion());
            mPool.recordOutcome(0, choice.server().id(), AttemptOutcome.SERVED);
        }
    }

    /** An address that a new incarnation has taken over must not be used for the old one. */
    @Test
    void newestIncarnationOwnsTheAddress() {
        addServer(1, "a", "v1", 0);
        Registration old = mServers.get(0).registration();
        Registration next =
                new Registration(
                        BackendId.of("i-99"),
                        2,
                        1,
                        SERVICE,
                        old.address(),
                        HOME,
                        "v1",
                        SLOTS,
                        false,
                        0);
        mServers.add(new RegisteredServer(next, 0, 0));
        update(RoutingOverrides.NONE);
        assertEquals(BackendId.of("i-99"), choose(0, 0));
    }

    private ServerChoice chooseAt(long nowNanos) {
        return mPool.choose(nowNanos, new SelectionCriteria(SERVICE, 0, 0, Set.of()));
    }

    /**
     * Guards against requests for a server that has said that it leaves, and against the next one.
     */
    @Test
    void serverThatSaysItLeavesGetsNoNewRequestsUntilItsRestart() {
        addServers(2);
        Registration leaving = mServers.get(0).registration();
        mPool.recordLeaving(leaving);
        assertFalse(mPool.accepts(0, leaving));
        for (int i = 0; i < 20; i++) {
            assertNotEquals(leaving.id(), chooseAt(0).server().id());
        }
        mPool.recordLeaving(mServers.get(1).registration());
        assertEquals(ServerChoice.Reason.NO_SERVER, chooseAt(0).reason());
        Registration restarted =
                new Registration(
                        leaving.id(),
                        2,
                        1,
                        SERVICE,
                        leaving.address(),
                        HOME,
                        "v1",
                        SLOTS,
                        false,
                        0);
        mServers.set(0, new RegisteredServer(restarted, 0, 0));
        update(RoutingOverrides.NONE);
        mPool.recordLeaving(leaving);
        assertEquals(restarted.id(), chooseAt(0).server().id());
    }

    /** Guards against requests for a server that has asked for none for a time. */
    @Test
    void restingServerGetsNoRequestsUntilTheTimeHasPassed() {
        addServers(2);
        mPool.recordRest(0, mServers.get(0).registration(), 3 * SECOND);
        for (int i = 0; i < 20; i++) {
            assertEquals(mServers.get(1).registration(), chooseAt(SECOND).server());
        }
        mPool.recordRest(0, mServers.get(1).registration(), 2 * SECOND);
        ServerChoice none = chooseAt(SECOND);
        assertEquals(ServerChoice.Reason.ALL_RESTING, none.reason());
        assertEquals(SECOND, none.waitNanos());
        assertEquals(mServers.get(1).registration(), chooseAt(2 * SECOND).server());
    }

    /**
     * Guards against a connection timeout for each server of a zone behind a cut link: in a zone
     * that was cut off, requests tried up to eight servers of the others, 250 ms each.
     */
    @Test
    void serversOfAZoneThatDoesNotAnswerAreAvoided() {
        addServers(16);
        Set<BackendId> unreachable = new HashSet<>();
        for (long key = 1; key <= 200; key++) {
            ServerChoice choice = mPool.choose(SECOND, criteriaOf(key, 0.5));
            boolean isHome = choice.server().zone().equals(HOME);
            if (!isHome) {
                unreachable.add(choice.server().id());
            }
            mPool.recordOutcome(
                    SECOND,
                    choice.server().id(),
                    isHome ? AttemptOutcome.SERVED : AttemptOutcome.UNREACHABLE);
        }
        assertEquals(3, unreachable.size());
    }

    /** Guards against a zone that stays avoided after its link is back. */
    @Test
    void answerEndsTheSuspensionOfAZone() {
        addServers(16);
        for (int i = 1; i <= 7; i += 2) {
            mPool.recordOutcome(SECOND, BackendId.of("i-" + i), AttemptOutcome.UNREACHABLE);
        }
        mPool.recordOutcome(SECOND, BackendId.of("i-9"), AttemptOutcome.SERVED);
        boolean isUsed = false;
        for (long key = 1; key <= 200; key++) {
            isUsed |= !mPool.choose(SECOND, criteriaOf(key, 0.5)).server().zone().equals(HOME);
        }
        assertTrue(isUsed);
    }

    /** Guards against the loss of a zone's capacity because single servers of it crash. */
    @Test
    void crashedServersDoNotSuspendAZoneThatAnswers() {
        addServers(16);
        for (int i = 1; i <= 7; i += 2) {
            mPool.recordOutcome(SECOND, BackendId.of("i-" + i), AttemptOutcome.UNREACHABLE);
            mPool.recordOutcome(SECOND, BackendId.of("i-15"), AttemptOutcome.SERVED);
        }
        boolean isUsed = false;
        for (long key = 1; key <= 200; key++) {
            isUsed |= !mPool.choose(SECOND, criteriaOf(key, 0.5)).server().zone().equals(HOME);
        }
        assertTrue(isUsed);
    }
}
