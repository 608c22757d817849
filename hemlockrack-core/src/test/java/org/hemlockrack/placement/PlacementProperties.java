package org.hemlockrack.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.seeds.FixedSeed;

/**
 * Properties of {@link Placement}. Those of the ranking and of convergence must also fail for an
 * implementation without the mechanism.
 */
class PlacementProperties {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final ServiceId SERVICE = ServiceId.of("assistant");
    private static final ModelVersion V1 = ModelVersion.of("m", "1");
    private static final ModelVersion V2 = ModelVersion.of("m", "2");
    private static final PlacementFilter FILTER = PlacementFilter.of(SERVICE, "m");
    private static final PlacementSettings SETTINGS =
            PlacementSettings.defaults().withMaxChats(1024);
    private static final long DETECTION_SEED = 1;
    private static final long AGREEMENT_SEED = 8;

    private static Placement createPlacement() {
        return Placement.create(SETTINGS);
    }

    /**
     * A server that fails and returns must get its chats back, and chats of others must not move.
     */
    @Property(tries = 500)
    void flapDoesNotMoveChats(@ForAll long seed) {
        checkFlap(seed, createPlacement());
    }

    /** A joining server takes over its share of the chats; no other chat moves. */
    @Property(tries = 200)
    @FixedSeed("1")
    void joinMovesOnlyItsShare(@ForAll long seed) {
        checkJoin(seed, createPlacement());
    }

    /** Choices must not depend on the order in which an instance received the candidates. */
    @Property(tries = 500)
    void equalViewsAgree(@ForAll long seed) {
        checkAgreement(seed, PlacementProperties::createPlacement);
    }

    /**
     * Instances whose candidates differed must agree on the first choice again after the candidates
     * became equal, although their chat tables differ.
     */
    @Property(tries = 200)
    void differingViewsConverge(@ForAll long seed) {
        checkConvergence(seed, PlacementProperties::createPlacement, false);
        checkConvergence(seed, PlacementProperties::createPlacement, true);
    }

    /** The first three properties must fail for a hash modulo the number of usable servers. */
    @Example
    void detectsModuloPlacement() {
        assertThrows(AssertionError.class, () -> checkFlap(DETECTION_SEED, new ModuloPlacement()));
        assertThrows(AssertionError.class, () -> checkJoin(DETECTION_SEED, new ModuloPlacement()));
        assertThrows(
                AssertionError.class, () -> checkAgreement(AGREEMENT_SEED, ModuloPlacement::new));
    }

    /** The convergence property must fail for a table that is trusted without a time limit. */
    @Example
    void detectsUnlimitedTrust() {
        PlacementSettings unlimited = SETTINGS.withColdWindowNanos(TimeUnit.DAYS.toNanos(365));
        assertThrows(
                AssertionError.class,
                () -> checkConvergence(DETECTION_SEED, () -> Placement.create(unlimited), false));
    }

    /**
     * A version in rollout, possibly a faulty one, must not get more chats than its share, and a
     * larger share must keep the chats of a smaller one.
     */
    @Property(tries = 100)
    @FixedSeed("1")
    void rolloutShareIsKeptAndGrows(@ForAll long seed) {
        Random random = new Random(seed);
        Placement small = createPlacement();
        Placement large = createPlacement();
        small.update(0, serversInRollout(0.05));
        large.update(0, serversInRollout(0.25));
        int admitted = 0;
        for (int i = 0; i < 4000; i++) {
            PlacementKey key = new PlacementKey(random.nextLong());
            boolean inSmall = usesVersion2(small, key);
            admitted += inSmall ? 1 : 0;
            assertTrue(
                    !inSmall || usesVersion2(large, key),
                    "a larger share does not include a chat of the smaller one");
        }
        // Six standard deviations of a binomial with 4000 tries at 5% are 83.
        assertEquals(200, admitted, 83);
    }

    /** Only usable servers are chosen: ready, in an open zone, with a positive weight. */
    @Property(tries = 300)
    void onlyUsableServersAreChosen(@ForAll long seed) {
        Random random = new Random(seed);
        Placement placement = createPlacement();
        for (int step = 0; step < 20; step++) {
            List<Candidate> view = randomView(random);
            placement.update(step * SECOND, view);
            long usable = view.stream().filter(Candidate::isUsable).count();
            PlacementKey key = new PlacementKey(random.nextInt(5));
            List<PlacementChoice> choices = placement.choose(step * SECOND, key, FILTER, 3);
            assertEquals(Math.min(3, usable), choices.stream().distinct().count());
            for (PlacementChoice choice : choices) {
                BackendId id = choice.backend();
                assertTrue(view.stream().anyMatch(c -> c.backend().equals(id) && c.isUsable()));
                placement.recordServed(step * SECOND, key, choice);
            }
        }
    }

    /** A cold server must not receive chats that another server still has cached. */
    @Example
    void coldServerYieldsCachedChats() {
        Placement placement = createPlacement();
        List<Candidate> view = servers(4);
        placement.update(0, view);
        PlacementKey key = new PlacementKey(42);
        PlacementChoice first = placement.choose(0, key, FILTER, 2).get(0);
        PlacementChoice second = placement.choose(0, key, FILTER, 2).get(1);
        placement.recordServed(SECOND, key, first);
        placement.recordServed(2 * SECOND, key, second);
        assertEquals(first.backend(), firstBackend(placement, 3 * SECOND, key));
        placement.applyCacheEvent(4 * SECOND, event(first.backend(), 7, List.of(), true));
        assertEquals(second.backend(), firstBackend(placement, 5 * SECOND, key));
        placement.applyCacheEvent(
                5 * SECOND,
                new CacheEvent(
                        SERVICE, second.backend(), V1, 1, 1, 0, List.of(), List.of(key), false));
        assertEquals(first.backend(), firstBackend(placement, 6 * SECOND, key));
    }

    /** A server with a cached copy goes first, but not after the copy has expired. */
    @Example
    void cachedCopyGoesFirst() {
        Placement placement = createPlacement();
        placement.update(0, servers(4));
        PlacementKey key = new PlacementKey(42);
        List<PlacementChoice> ranked = placement.choose(0, key, FILTER, 3);
        placement.recordServed(SECOND, key, ranked.get(2));
        placement.applyCacheEvent(SECOND, event(ranked.get(2).backend(), 1, List.of(), false));
        assertEquals(ranked.get(2).backend(), firstBackend(placement, 2 * SECOND, key));
        placement.applyCacheEvent(
                3600 * SECOND, event(ranked.get(2).backend(), 2, List.of(), false));
        assertEquals(ranked.get(0).backend(), firstBackend(placement, 3600 * SECOND, key));
    }

    /** A new chat must not go to a first-ranked server above the mean load. */
    @Example
    void firstTurnAvoidsLoadedServer() {
        Placement placement = createPlacement();
        List<Candidate> view = servers(4);
        placement.update(0, view);
        PlacementKey key = new PlacementKey(42);
        List<PlacementChoice> ranked = placement.choose(0, key, FILTER, 4);
        ranked.forEach(c -> placement.applyCacheEvent(0, event(c.backend(), 1, List.of(), false)));
        BackendId first = ranked.get(0).backend();
        view.replaceAll(c -> c.backend().equals(first) ? withStateAndLoad(c, c.state(), 5) : c);
        placement.update(SECOND, view);
        assertEquals(first, firstBackend(placement, SECOND, key));
        PlacementChoice chosen = placement.choose(SECOND, key, FILTER.forFirstTurn(), 1).get(0);
        assertEquals(ranked.get(1).backend(), chosen.backend());
    }

    private static void checkFlap(long seed, Placement placement) {
        Random random = new Random(seed);
        List<Candidate> view = servers(3 + random.nextInt(10));
        placement.update(0, view);
        Map<PlacementKey, BackendId> before = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            PlacementKey key = new PlacementKey(random.nextLong());
            before.put(key, serve(placement, SECOND, key));
        }
        BackendId flapping = view.get(random.nextInt(view.size())).backend();
        List<Candidate> down = new ArrayList<>(view);
        down.replaceAll(
                c ->
                        c.backend().equals(flapping)
                                ? withStateAndLoad(c, CandidateState.NOT_LIVE, 0)
                                : c);
        placement.update(2 * SECOND, down);
        for (Map.Entry<PlacementKey, BackendId> chat : before.entrySet()) {
            BackendId during = serve(placement, 3 * SECOND, chat.getKey());
            if (!chat.getValue().equals(flapping)) {
                assertEquals(chat.getValue(), during, "a flap moved a chat of another server");
            }
        }
        placement.update(4 * SECOND, view);
        before.forEach((key, id) -> assertEquals(id, serve(placement, 5 * SECOND, key)));
    }

    private static void checkJoin(long seed, Placement placement) {
        Random random = new Random(seed);
        int size = 3 + random.nextInt(10);
        List<Candidate> view = servers(size);
        placement.update(0, view.subList(0, size - 1));
        Map<PlacementKey, BackendId> before = new HashMap<>();
        for (int i = 0; i < 2000; i++) {
            PlacementKey key = new PlacementKey(random.nextLong());
            before.put(key, firstBackend(placement, SECOND, key));
        }
        placement.update(2 * SECOND, view);
        BackendId joined = view.get(size - 1).backend();
        int moved = 0;
        for (Map.Entry<PlacementKey, BackendId> chat : before.entrySet()) {
            BackendId now = firstBackend(placement, 3 * SECOND, chat.getKey());
            boolean stayed = now.equals(chat.getValue());
            assertTrue(stayed || now.equals(joined), "a chat moved between old servers");
            moved += stayed ? 0 : 1;
        }
        double share = 1.0 / size;
        double deviation = Math.sqrt(2000 * share * (1 - share));
        assertEquals(2000 * share, moved, 6 * deviation);
    }

    private static void checkAgreement(long seed, Supplier<Placement> factory) {
        Random random = new Random(seed);
        List<Candidate> view = randomView(random);
        Placement one = factory.get();
        Placement other = factory.get();
        one.update(0, view);
        List<Candidate> shuffled = new ArrayList<>(view);
        Collections.shuffle(shuffled, random);
        other.update(17, shuffled);
        for (int i = 0; i < 50; i++) {
            PlacementKey key = new PlacementKey(random.nextLong());
            assertEquals(one.choose(20, key, FILTER, 3), other.choose(20, key, FILTER, 3));
        }
    }

    /** Candidates differ between instances for 50 s; then each instance serves each chat once. */
    private static void checkConvergence(long seed, Supplier<Placement> factory, boolean events) {
        Random random = new Random(seed);
        List<Candidate> view = servers(6);
        List<Placement> all = List.of(factory.get(), factory.get(), factory.get());
        all.forEach(p -> p.update(0, view.subList(0, 4)));
        for (int step = 1; step < 170; step++) {
            boolean viewsEqual = step >= 50;
            Placement instance = all.get(viewsEqual ? step % 3 : random.nextInt(3));
            if (step < 49) {
                instance.update(step * SECOND, view.subList(0, 4 + random.nextInt(3)));
            } else if (step == 49) {
                all.forEach(p -> p.update(49 * SECOND, view));
            }
            PlacementKey key = new PlacementKey(viewsEqual ? (step - 50) / 3 : random.nextInt(40));
            PlacementChoice choice = instance.choose(step * SECOND, key, FILTER, 1).get(0);
            instance.recordServed(step * SECOND, key, choice);
            for (Candidate server : events ? view : List.<Candidate>of()) {
                boolean chosen = server.backend().equals(choice.backend());
                CacheEvent event =
                        event(server.backend(), step, chosen ? List.of(key) : List.of(), false);
                for (Placement other : all) {
                    if (viewsEqual || random.nextInt(3) > 0) {
                        other.applyCacheEvent(step * SECOND, event);
                    }
                }
            }
        }
        for (int chat = 0; chat < 40; chat++) {
            PlacementKey key = new PlacementKey(chat);
            BackendId first = firstBackend(all.get(0), 171 * SECOND, key);
            all.forEach(p -> assertEquals(first, firstBackend(p, 171 * SECOND, key)));
        }
    }

    private static BackendId firstBackend(Placement placement, long now, PlacementKey key) {
        return placement.choose(now, key, FILTER, 1).get(0).backend();
    }

    private static BackendId serve(Placement placement, long now, PlacementKey key) {
        PlacementChoice choice = placement.choose(now, key, FILTER, 1).get(0);
        placement.recordServed(now, key, choice);
        return choice.backend();
    }

    private static boolean usesVersion2(Placement placement, PlacementKey key) {
        List<PlacementChoice> choices = placement.choose(0, key, FILTER, 8);
        boolean first = choices.get(0).modelVersion().equals(V2);
        assertEquals(first, choices.stream().anyMatch(c -> c.modelVersion().equals(V2)));
        return first;
    }

    private static List<Candidate> serversInRollout(double share) {
        List<Candidate> view = servers(4);
        view.add(candidate(7, V2, 1, share));
        view.add(candidate(8, V2, 1, share));
        return view;
    }

    private static List<Candidate> servers(int count) {
        IntStream ids = IntStream.range(0, count);
        return new ArrayList<>(ids.mapToObj(i -> candidate(i, V1, 1, 1)).toList());
    }

    private static List<Candidate> randomView(Random random) {
        List<Candidate> view = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            CandidateState state = CandidateState.values()[random.nextInt(3)];
            view.add(
                    withStateAndLoad(
                            candidate(i, V1, random.nextInt(4), 1), state, random.nextInt(12)));
        }
        return view;
    }

    private static Candidate candidate(int i, ModelVersion version, double weight, double share) {
        BackendId id = BackendId.of("server-" + i);
        ZoneId zone = ZoneId.of("zone-" + i % 3);
        return new Candidate(
                SERVICE,
                id,
                1,
                version,
                zone,
                true,
                CandidateState.READY,
                weight,
                share,
                0,
                10,
                0,
                0);
    }

    private static Candidate withStateAndLoad(Candidate c, CandidateState state, int load) {
        double share = c.permittedShare();
        return new Candidate(
                SERVICE,
                c.backend(),
                1,
                V1,
                c.zone(),
                true,
                state,
                c.weight(),
                share,
                load,
                10,
                0,
                0);
    }

    private static CacheEvent event(
            BackendId id, long sequence, List<PlacementKey> added, boolean cleared) {
        return new CacheEvent(SERVICE, id, V1, 1, sequence, 0, added, List.of(), cleared);
    }

    /** Hash modulo the number of usable servers, in the order of the list. */
    private static final class ModuloPlacement implements Placement {
        private List<Candidate> mUsable = List.of();

        @Override
        public void update(long nowNanos, List<Candidate> candidates) {
            mUsable = candidates.stream().filter(Candidate::isUsable).toList();
        }

        @Override
        public List<PlacementChoice> choose(
                long nowNanos, PlacementKey key, PlacementFilter filter, int max) {
            if (mUsable.isEmpty()) {
                return List.of();
            }
            Candidate c = mUsable.get((int) Long.remainderUnsigned(key.hash(), mUsable.size()));
            PlacementReason reason = PlacementReason.HASH;
            return List.of(new PlacementChoice(SERVICE, c.backend(), V1, c.zone(), reason));
        }

        @Override
        public void recordServed(long nowNanos, PlacementKey key, PlacementChoice choice) {}

        @Override
        public void applyCacheEvent(long nowNanos, CacheEvent event) {}

        @Override
        public long turnoverNanos(PlacementChoice choice) {
            return 0;
        }

        @Override
        public int trackedChats() {
            return 0;
        }

        @Override
        public long tableBytes() {
            return 0;
        }
    }
}
