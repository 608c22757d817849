package org.hemlockrack.placement.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.placement.Candidate;
import org.hemlockrack.placement.CandidateState;
import org.hemlockrack.placement.internal.SequenceWindow.Arrival;

class ChatTableProperties {
    /**
     * The table must not grow above its capacity, lose recently used chats or return old servers of
     * a chat: it must behave like an LRU map.
     */
    @Property(tries = 1000)
    void tableMatchesMap(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int capacity) {
        compareWithMap(seed, capacity, true);
    }

    /** The property above must fail for eviction by insertion order instead of last use. */
    @Example
    void detectsEvictionByInsertionOrder() {
        assertThrows(AssertionError.class, () -> compareWithMap(1, 10, false));
    }

    private static void compareWithMap(long seed, int capacity, boolean byLastUse) {
        Random random = new Random(seed);
        ChatTable table = ChatTable.create(capacity);
        LinkedHashMap<Long, Integer> oracle = new LinkedHashMap<>(16, 0.75f, byLastUse);
        for (int tick = 1; tick < 300; tick++) {
            long key = random.nextInt(60);
            int slot = random.nextInt(3);
            if (random.nextInt(5) == 0) {
                table.remove(key, slot, tick);
            } else {
                table.recordUse(key, slot, tick);
                oracle.put(key, slot);
                int index = table.find(key);
                int position = table.slot(index, 0) == slot ? 0 : 1;
                assertEquals(slot, table.slot(index, position));
                assertEquals(tick, table.tick(index, position));
            }
            if (oracle.size() > capacity) {
                oracle.remove(oracle.keySet().iterator().next());
            }
            assertEquals(oracle.size(), table.size());
            for (long k = 0; k < 60; k++) {
                assertEquals(oracle.containsKey(k), table.find(k) != ChatTable.NONE, "key " + k);
            }
        }
    }

    /** The table must use at most 64 bytes per chat at any capacity. */
    @Property(tries = 300)
    void bytesPerChatStayWithinTarget(@ForAll @IntRange(min = 16, max = 300_000) int capacity) {
        assertTrue(ChatTable.create(capacity).sizeBytes() <= 64L * capacity);
    }

    /** The window must detect repeated and late sequence numbers and gaps. */
    @Property(tries = 500)
    void windowMatchesSet(@ForAll long seed) {
        Random random = new Random(seed);
        SequenceWindow window = new SequenceWindow();
        window.accept(0);
        Set<Long> seen = new HashSet<>(Set.of(0L));
        long highest = 0;
        for (int i = 0; i < 200; i++) {
            long sequence = Math.max(0, highest + random.nextInt(9) - 5);
            boolean late = sequence < highest;
            boolean next = sequence == highest + 1;
            Arrival unseen = late ? Arrival.LATE : next ? Arrival.NEXT : Arrival.AFTER_GAP;
            Arrival expected = seen.add(sequence) ? unseen : Arrival.REPEATED;
            highest = Math.max(highest, sequence);
            assertEquals(expected, window.accept(sequence));
        }
    }

    /** The shortcut without logarithm must not drop a server with a high score. */
    @Property(tries = 500)
    void rankingMatchesFullSort(@ForAll long seed) {
        Random random = new Random(seed);
        List<ServerCacheState> servers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            servers.add(ServerCacheState.of(i, candidate(i, 0.1 + 5 * random.nextDouble()), -1));
        }
        VersionGroup group = VersionGroup.of(1, "", servers);
        long key = random.nextLong();
        Ranking ranking = new Ranking();
        ranking.reset(3);
        ranking.addGroup(group, key, Set.of());
        List<ServerCacheState> sorted = new ArrayList<>(servers);
        sorted.sort((a, b) -> Double.compare(score(b, key), score(a, key)));
        for (int i = 0; i < 3; i++) {
            assertEquals(sorted.get(i).slot(), ranking.get(i).slot());
        }
    }

    private static double score(ServerCacheState server, long key) {
        long hash = StableHash.hash(server.candidate().backend().value());
        return server.candidate().weight()
                / -Math.log(StableHash.toUnitInterval(StableHash.mix(key ^ hash)));
    }

    private static Candidate candidate(int i, double weight) {
        BackendId id = BackendId.of("server-" + i);
        ModelVersion version = ModelVersion.of("m", "1");
        CandidateState state = CandidateState.READY;
        ZoneId zone = ZoneId.of("z");
        return new Candidate(
                ServiceId.of("s"), id, 1, version, zone, true, state, weight, 1, 0, 10, 0, 0);
    }
}
