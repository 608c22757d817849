package org.hemlockrack.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.junit.jupiter.api.Test;

class DemandCollectorTest {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final ReplicaKey KEY = new ReplicaKey(SERVICE, ZONE);

    private static Registration server(String id) {
        return new Registration(
                BackendId.of(id), 1, 1, SERVICE, "127.0.0.1:1", ZONE, "v1", 64, false, 0);
    }

    /**
     * Guards against refusals from before the first report, against refusals that count twice, and
     * against the load of a gateway that has ended.
     */
    @Test
    void demandIsTheSumOfTheGateways() {
        DemandCollector collector = DemandCollector.create(0);
        List<Registration> servers = List.of(server("i-1"), server("i-2"));
        collector.recordReport(0, "g1", ZONE, Map.of("i-1", 3), Map.of("s", 100L));
        collector.recordReport(0, "g2", ZONE, Map.of("i-1", 4, "i-2", 5), Map.of());
        long laterNanos = TimeUnit.SECONDS.toNanos(2);
        collector.recordReport(laterNanos, "g1", ZONE, Map.of("i-1", 2), Map.of("s", 110L));
        assertEquals(
                Map.of(KEY, new ZoneDemand(2, 64, 11, 5)), collector.read(laterNanos, servers));
        long lastNanos = TimeUnit.SECONDS.toNanos(5);
        assertEquals(Map.of(KEY, new ZoneDemand(2, 64, 2, 0)), collector.read(lastNanos, servers));
    }
}
