package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** R10 on real processes: one patch wins a number, and what was accepted stays in force. */
class FleetConfigTest {
    private static final int ROUNDS = Integer.getInteger("fleet.rounds", 4);
    private static final long SEED = Long.getLong("fleet.seed", 20_263);

    private final FleetRig mRig = FleetRig.start();
    private final Random mRandom = new Random(SEED);
    private final Recoveries mRecoveries = new Recoveries();

    /** Request ids of accepted patches by version. */
    private final Map<Long, String> mAccepted = new TreeMap<>();

    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final Map<String, Long> mShown = new ConcurrentHashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();
    private final Thread mWatcher = new Thread(this::watch, "watcher");

    @AfterEach
    void stop() throws InterruptedException {
        mStopped.set(true);
        mWatcher.join();
        mRig.close();
    }

    /** Notes each number that an instance shows after a higher one, also over restarts. */
    private void watch() {
        while (!mStopped.get()) {
            for (String instance : FleetRig.INSTANCES) {
                try {
                    watch(instance);
                } catch (RuntimeException e) {
                    // An instance that is down shows nothing.
                    LocalFleet.sleep(1);
                }
            }
            LocalFleet.sleep(5);
        }
    }

    private void watch(String instance) {
        long version = mRig.version(instance);
        long before = mShown.getOrDefault(instance, -1L);
        if (version >= 0 && version < before) {
            mViolations.add(instance + " showed " + version + " after " + before);
        }
        mShown.put(instance, Math.max(before, version));
    }

    /** An operator's patch and the answers to its sends. */
    private final class Patch {
        private final long mBase;
        private final String mId;
        private final List<String> mAnswers = new CopyOnWriteArrayList<>();

        Patch(long base, String id) {
            mBase = base;
            mId = id;
        }

        /** Sends until the change is decided, over another instance each time. */
        void sendUntilDecided(int first) {
            int[] turn = {first};
            mRig.fleet()
                    .await(
                            "a decision about " + mId,
                            60,
                            () -> {
                                String instance = FleetRig.INSTANCES.get(turn[0]++ % 4);
                                return isDecided(send(instance));
                            });
        }

        private boolean isDecided(int status) {
            return status == 200 || status == 412;
        }

        int send(String instance) {
            String toml =
                    "[workspaces.demo]\nmax_concurrent_requests = "
                            + (5_000 + mId.hashCode() % 999);
            try {
                FleetClient.Answer answer =
                        mRig.client()
                                .patchConfiguration(mRig.operators(instance), mBase, mId, toml);
                mAnswers.add(answer.status() + " " + answer.json().path("version").asLong());
                return answer.status();
            } catch (UncheckedIOException e) {
                return 0;
            }
        }

        boolean won() {
            return mAnswers.contains("200 " + (mBase + 1));
        }

        /** A decided patch must get the same answer again from every instance. */
        void checkRepeated() {
            for (String instance : FleetRig.INSTANCES) {
                assertEquals(won() ? 200 : 412, send(instance), () -> mId + " " + mAnswers);
            }
        }
    }

    private Patch race(long base) throws InterruptedException {
        List<Patch> patches = new ArrayList<>();
        List<Thread> operators = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Patch patch = new Patch(base, "v" + base + "-operator" + i);
            int first = i;
            patches.add(patch);
            operators.add(new Thread(() -> patch.sendUntilDecided(first)));
        }
        operators.forEach(Thread::start);
        for (Thread operator : operators) {
            operator.join();
        }
        List<Patch> winners = patches.stream().filter(Patch::won).toList();
        assertEquals(1, winners.size(), () -> "winners on base " + base);
        mAccepted.put(base + 1, winners.get(0).mId);
        return winners.get(0);
    }

    private void awaitVersion(long version) {
        mRig.fleet()
                .await(
                        "version " + version + " everywhere",
                        60,
                        () ->
                                FleetRig.INSTANCES.stream()
                                        .allMatch(i -> mRig.version(i) == version));
    }

    private void assertHistory(String instance) {
        JsonNode history = mRig.client().fetchPage(mRig.operators(instance), "config/history");
        Map<Long, String> found = new HashMap<>();
        for (JsonNode row : history.path("versions")) {
            found.put(row.path("version").asLong(), row.path("request_id").asText());
        }
        mAccepted.forEach((version, id) -> assertEquals(id, found.get(version), instance));
    }

    private void finish(long version) {
        awaitVersion(version);
        List.of("i1", "i2", "i3").forEach(this::assertHistory);
        assertEquals(List.of(), mViolations);
    }

    /**
     * Guards against two winners of a number, a lost change and a number that goes back, while
     * operators race and instances fail, and over a restart of all instances.
     */
    @Test
    void onePatchWinsEachNumberUnderSeededFaults() throws InterruptedException {
        mRig.awaitReady();
        mWatcher.start();
        Patch last = null;
        for (int round = 0; round < ROUNDS; round++) {
            FleetFault fault = FleetFault.OF_INSTANCES.get(round % 4);
            String role = mRandom.nextBoolean() ? "leader" : "other";
            String victim = role.equals("leader") ? mRig.leader() : "i" + (1 + mRandom.nextInt(4));
            long delayMillis = mRandom.nextInt(30);
            long holdMillis = 2_500 + mRandom.nextInt(500);
            Thread striker = new Thread(() -> strike(fault, victim, delayMillis, holdMillis));
            long beginNanos = System.nanoTime();
            striker.start();
            last = race(round + 1);
            mRecoveries.add(fault + "-" + role, (System.nanoTime() - beginNanos) / 1_000_000);
            striker.join();
            mRig.awaitReady();
            last.checkRepeated();
        }
        restartAll();
        finish(ROUNDS + 1);
        if (last != null) {
            last.checkRepeated();
        }
        System.out.printf("config seed=%d rounds=%d%n", SEED, ROUNDS);
        mRecoveries.print("config");
    }

    private void strike(FleetFault fault, String victim, long delayMillis, long holdMillis) {
        LocalFleet.sleep(delayMillis);
        fault.begin(mRig, victim);
        LocalFleet.sleep(holdMillis);
        fault.end(mRig, victim);
    }

    private void restartAll() {
        FleetRig.INSTANCES.forEach(instance -> mRig.process(instance).kill());
        FleetRig.INSTANCES.forEach(instance -> mRig.process(instance).restart());
        mRig.awaitReady();
    }

    /**
     * Guards against a lost change when a second disk is lost right after the first is repaired.
     */
    @Test
    void lostDisksLoseNothing() throws InterruptedException {
        mRig.awaitReady();
        mWatcher.start();
        long version = 1;
        for (String instance : List.of("i2", "i1", "i3")) {
            race(version);
            version++;
            long beginNanos = System.nanoTime();
            mRig.fleet().replaceDisk(instance);
            mRig.fleet()
                    .await(
                            "the new replica of " + instance + " votes",
                            60,
                            () -> mRig.status(instance).path("voter").asBoolean());
            mRecoveries.add("DISK", (System.nanoTime() - beginNanos) / 1_000_000);
        }
        race(version);
        version++;
        mRig.awaitReady();
        finish(version);
        restartAll();
        finish(version);
        assertTrue(mShown.values().stream().allMatch(shown -> shown > 1));
        mRecoveries.print("config");
    }
}
