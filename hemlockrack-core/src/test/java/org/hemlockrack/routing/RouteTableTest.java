package org.hemlockrack.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.junit.jupiter.api.Test;

class RouteTableTest {
    private static final ServiceId A = ServiceId.of("a");
    private static final ServiceId B = ServiceId.of("b");
    private static final List<ServiceSpec> SERVICES =
            List.of(new ServiceSpec(A, 10, 0, 0), new ServiceSpec(B, 10, 0, 0));

    private static Route route(String name, String prefix, long timeoutMillis, double weight) {
        return new Route(
                name,
                "h",
                prefix,
                RerunPolicy.AT_MOST_ONCE,
                false,
                timeoutMillis,
                100,
                0,
                0,
                List.of(new WeightedService(A, weight), new WeightedService(B, 1 - weight)),
                1,
                false,
                false);
    }

    private static void assertInvalid(List<Route> routes) {
        HemlockrackException e =
                assertThrows(
                        HemlockrackException.class, () -> RouteTable.of(1, routes, SERVICES, null));
        assertEquals(ErrorKind.CONFIG_INVALID, e.kind());
    }

    /** A shorter prefix must not hide a longer one. */
    @Test
    void longestPrefixWins() {
        RouteTable table =
                RouteTable.of(
                        1,
                        List.of(route("short", "/x/", 10, 0.5), route("long", "/x/y/", 10, 0.5)),
                        SERVICES,
                        null);
        assertEquals("long", table.match("h", "/x/y/z").name());
        assertEquals("short", table.match("h", "/x/yy").name());
        assertNull(table.match("other", "/x/y/z"));
        assertNull(table.match("h", "/x"));
    }

    /** A table that would leave requests without a target must be rejected. */
    @Test
    void invalidTablesAreRejected() {
        assertInvalid(List.of(route("r", "/x/", 0, 0.5)));
        assertInvalid(List.of(route("r", "/x/", 10, 0.5), route("s", "/x/", 10, 0.5)));
        Route none = route("r", "/x/", 10, 0.5);
        assertInvalid(List.of(withTargets(none, List.of(new WeightedService(A, 0)))));
        assertInvalid(
                List.of(withTargets(none, List.of(new WeightedService(ServiceId.of("c"), 1)))));
    }

    private static Route withTargets(Route route, List<WeightedService> targets) {
        return new Route(
                route.name(),
                route.host(),
                route.pathPrefix(),
                route.rerunPolicy(),
                route.resumable(),
                route.timeoutMillis(),
                route.targetLatencyMillis(),
                route.targetGapMillis(),
                route.priorityRank(),
                targets,
                route.maxAttempts(),
                route.allowsAnonymous(),
                route.prefixAffinity());
    }

    /** A key must not belong to two workspaces. */
    @Test
    void sharedKeysAreRejected() {
        WorkspaceKeys one = new WorkspaceKeys(WorkspaceId.of("w1"), List.of("k"), 0);
        WorkspaceKeys two = new WorkspaceKeys(WorkspaceId.of("w2"), List.of("k"), 0);
        assertThrows(
                HemlockrackException.class,
                () -> RouteTable.of(1, List.of(), SERVICES, List.of(one, two)));
        RouteTable table = RouteTable.of(1, List.of(), SERVICES, List.of(one));
        assertTrue(table.requiresKeys());
        assertEquals("w1", table.workspaceOf("k").workspace().value());
        assertNull(table.workspaceOf("gone"));
    }

    /** Requests must be split among services in proportion to their weights. */
    @Test
    void splitFollowsWeights() {
        Route route = route("r", "/x/", 10, 0.9);
        Map<ServiceId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 1_000; i++) {
            counts.merge(route.chooseService(i / 1_000.0), 1, Integer::sum);
        }
        assertEquals(900, counts.get(A), 1);
        assertEquals(100, counts.get(B), 1);
    }
}
