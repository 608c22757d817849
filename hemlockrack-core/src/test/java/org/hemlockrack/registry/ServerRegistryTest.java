package org.hemlockrack.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ServerData;
import org.junit.jupiter.api.Test;

class ServerRegistryTest {
    private static final BackendId ID = BackendId.of("i-1");

    private static Registration heartbeat(long startMillis, long sequence, boolean leaving) {
        return new Registration(
                ID,
                startMillis,
                sequence,
                ServiceId.of("s"),
                "10.0.0.1:80",
                ZoneId.of("a"),
                "v1",
                4,
                leaving,
                0);
    }

    /** A heartbeat that arrives late must not undo the announcement that a server is leaving. */
    @Property(tries = 100)
    void newestHeartbeatWinsInAnyOrder(@ForAll long seed) {
        List<Registration> beats = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            beats.add(heartbeat(100, i, i == 5));
            beats.add(heartbeat(90, i + 10, false));
        }
        Collections.shuffle(beats, new Random(seed));
        ServerRegistry registry = ServerRegistry.create();
        beats.forEach(beat -> registry.recordHeartbeat(0, beat, 0));
        Registration held = registry.find(ID).registration();
        assertEquals(100, held.startMillis());
        assertEquals(5, held.sequence());
        assertTrue(held.leaving());
    }

    /**
     * A change must get a new revision, or gateways never receive it; an unchanged heartbeat must
     * not get one, which would cause needless control traffic.
     */
    @Test
    void onlyChangesGetNewRevision() {
        ServerRegistry registry = ServerRegistry.create();
        registry.recordHeartbeat(0, heartbeat(1, 1, false), 0);
        long revision = registry.revision();
        assertEquals(1, registry.changesSince(0, 0).size());
        registry.recordHeartbeat(1, heartbeat(1, 2, false), 0);
        assertTrue(registry.changesSince(1, revision).isEmpty());
        registry.recordHeartbeat(2, heartbeat(1, 3, true), 0);
        assertTrue(registry.changesSince(2, revision).get(0).isLeaving());
    }

    /** Entries relayed between instances keep their age, so that a dead server expires. */
    @Test
    void relayedEntryKeepsItsAge() {
        ServerRegistry first = ServerRegistry.create();
        first.recordHeartbeat(0, heartbeat(1, 1, false), 0);
        long laterNanos = TimeUnit.SECONDS.toNanos(5);
        ServerRegistry second = ServerRegistry.create();
        second.mergeAll(laterNanos, first.changesSince(laterNanos, 0));
        assertTrue(second.removeExpired(laterNanos).isEmpty());
        assertEquals(1, second.removeExpired(ServerRegistry.EXPIRY_NANOS).size());
        assertNull(second.find(ID));
    }

    /** A duplicate heartbeat must not be recorded again. */
    @Test
    void sameHeartbeatIsIgnored() {
        ServerRegistry registry = ServerRegistry.create();
        assertTrue(registry.recordHeartbeat(0, heartbeat(1, 1, false), 0));
        assertFalse(registry.recordHeartbeat(0, heartbeat(1, 1, false), 0));
    }

    /** Guards against an entry of another writer that keeps an instance from reading the others. */
    @Test
    void entriesThatAreNotValidAreLeftOut() {
        ServerRegistry registry = ServerRegistry.create();
        List<ServerData> entries =
                List.of(
                        new ServerData("s1", 1, 1, "s", "h:99999", "a", "v", 4, false, 0, 0),
                        new ServerData("s 2", 1, 1, "s", "h:80", "a", "v", 4, false, 0, 0),
                        new ServerData("s3", 1, 1, "s", "h:80", "a", "v", -4, false, 0, 0),
                        new ServerData("s4", 1, 1, "s", "h:80", "a", "v", 4, false, -9, 0),
                        new ServerData("s5", 1, 1, "s", "[::1]:80", "a", "v", 4, false, 0, 0));
        assertEquals(4, registry.mergeAll(0, entries));
        assertEquals(1, registry.servers().size());
    }
}
