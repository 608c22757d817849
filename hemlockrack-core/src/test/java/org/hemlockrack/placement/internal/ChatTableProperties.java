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
    /** Guards against a table that grows, loses recent chats or keeps stale places. */
    @Property(tries = 1000)
    void tableMatchesMap(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int capacity) {
        compare(seed, capacity, true);
    }

    /** The property must see replacement by age of entry instead of last use. */
    @Example
    void catchesReplacementOfFirstInserted() {
        assertThrows(AssertionError.class, () -> compare(1, 10, false));
    }

    private static void compare(long seed, int capacity, boolean byLastUse) {
        Random random = new Random(seed);
        ChatTable table = ChatTable.create(capacity);
        LinkedHashMap<Long, Integer> oracle = new LinkedHashMap<>(16, 0.75f, byLastUse);
        for (int tick = 1; tick < 300; tick++) {
            long key = random.nextInt(60);
            int slot = random.nextInt(3);
            if (random.nextInt(5) == 0) {
                table.remove(key, slot, tick);
            } else {
                table.put(key, slot, tick);
                oracle.put(key, slot);
                int at = table.find(key);
                int place = table.slot(at, 0) == slot ? 0 : 1;
                assertEquals(slot, table.slot(at, place));
                assertEquals(tick, table.tick(at, place));
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

    /** Guards against a table over the target of 64 bytes per chat at any size. */
    @Property(tries = 300)
    void bytesPerChatStayWithinTarget(@ForAll @IntRange(min = 16, max = 300_000) int capacity) {
        assertTrue(ChatTable.create(capacity).bytes() <= 64L * capacity);
    }

    /** Guards against repeated events taken for new ones, and gaps that go unseen. */
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

    /** Guards against a shortcut in the ranking that drops a server with a high score. */
    @Property(tries = 500)
    void rankingMatchesFullSort(@ForAll long seed) {
        Random random = new Random(seed);
        List<ServerState> servers = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            servers.add(ServerState.of(i, candidate(i, 0.1 + 5 * random.nextDouble()), -1));
        }
        VersionGroup group = VersionGroup.of(1, "", servers);
        long key = random.nextLong();
        Ranking ranking = new Ranking();
        ranking.reset(3);
        ranking.rank(group, key, Set.of());
        List<ServerState> sorted = new ArrayList<>(servers);
        sorted.sort((a, b) -> Double.compare(score(b, key), score(a, key)));
        for (int i = 0; i < 3; i++) {
            assertEquals(sorted.get(i).slot(), ranking.get(i).slot());
        }
    }

    private static double score(ServerState server, long key) {
        long hash = Mixer.hash(server.candidate().backend().value());
        return server.candidate().weight() / -Math.log(Mixer.unit(Mixer.mix(key ^ hash)));
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
