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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Configuration changes on real processes: of concurrent patches to the same version exactly one is
 * accepted, and accepted changes are never lost.
 */
class FleetConfigTest {
    private static final int ROUNDS = Integer.getInteger("fleet.rounds", 4);
    private static final long SEED = Long.getLong("fleet.seed", 20_263);

    private final FleetFixture mFixture = FleetFixture.start();
    private final Random mRandom = new Random(SEED);
    private final RecoveryTimes mRecoveryTimes = new RecoveryTimes();

    /** Request ids of accepted patches by version. */
    private final Map<Long, String> mAcceptedRequestIds = new TreeMap<>();

    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final Map<String, Long> mHighestVersions = new ConcurrentHashMap<>();
    private final List<String> mViolations = new CopyOnWriteArrayList<>();
    private final Thread mWatcher = new Thread(this::checkVersions, "watcher");

    @AfterEach
    void stop() throws InterruptedException {
        mStopped.set(true);
        mWatcher.join();
        mFixture.close();
    }

    /**
     * Records a violation when an instance reports a lower version than before, even if restarted.
     */
    private void checkVersions() {
        while (!mStopped.get()) {
            for (String instance : FleetFixture.INSTANCES) {
                try {
                    checkVersions(instance);
                } catch (RuntimeException e) {
                    // The instance is down or unreachable.
                    LocalFleet.sleep(1);
                }
            }
            LocalFleet.sleep(5);
        }
    }

    private void checkVersions(String instance) {
        long version = mFixture.configVersion(instance);
        long before = mHighestVersions.getOrDefault(instance, -1L);
        if (version >= 0 && version < before) {
            mViolations.add(instance + " reported " + version + " after " + before);
        }
        mHighestVersions.put(instance, Math.max(before, version));
    }

    /** An operator's patch and the answers to all attempts to send it. */
    private final class Patch {
        private final long mBaseVersion;
        private final String mRequestId;
        private final List<String> mAnswers = new CopyOnWriteArrayList<>();

        Patch(long baseVersion, String requestId) {
            mBaseVersion = baseVersion;
            mRequestId = requestId;
        }

        /**
         * Sends the patch until it is accepted or rejected, to the next instance in each attempt.
         */
        void sendUntilDecided(int first) {
            int[] next = {first};
            mFixture.fleet()
                    .await(
                            "acceptance or rejection of " + mRequestId,
                            60,
                            () -> {
                                String instance = FleetFixture.INSTANCES.get(next[0]++ % 4);
                                return isDecided(send(instance));
                            });
        }

        private boolean isDecided(int status) {
            return status == 200 || status == 412;
        }

        int send(String instance) {
            String toml =
                    "[workspaces.demo]\nmax_concurrent_requests = "
                            + (5_000 + mRequestId.hashCode() % 999);
            try {
                FleetClient.Answer answer =
                        mFixture.client()
                                .patchConfiguration(
                                        mFixture.operatorAddress(instance),
                                        mBaseVersion,
                                        mRequestId,
                                        toml);
                mAnswers.add(answer.status() + " " + answer.json().path("version").asLong());
                return answer.status();
            } catch (UncheckedIOException e) {
                return 0;
            }
        }

        boolean isAccepted() {
            return mAnswers.contains("200 " + (mBaseVersion + 1));
        }

        /** A decided patch must get the same answer again from every instance. */
        void assertRepeatsGetSameStatus() {
            for (String instance : FleetFixture.INSTANCES) {
                assertEquals(
                        isAccepted() ? 200 : 412,
                        send(instance),
                        () -> mRequestId + " " + mAnswers);
            }
        }
    }

    private Patch sendConcurrentPatches(long baseVersion) throws InterruptedException {
        List<Patch> patches = new ArrayList<>();
        List<Thread> operators = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Patch patch = new Patch(baseVersion, "v" + baseVersion + "-operator" + i);
            int first = i;
            patches.add(patch);
            operators.add(new Thread(() -> patch.sendUntilDecided(first)));
        }
        operators.forEach(Thread::start);
        for (Thread operator : operators) {
            operator.join();
        }
        List<Patch> accepted = patches.stream().filter(Patch::isAccepted).toList();
        assertEquals(1, accepted.size(), () -> "accepted patches to version " + baseVersion);
        mAcceptedRequestIds.put(baseVersion + 1, accepted.get(0).mRequestId);
        return accepted.get(0);
    }

    private void awaitVersion(long version) {
        mFixture.fleet()
                .await(
                        "version " + version + " on all instances",
                        60,
                        () ->
                                FleetFixture.INSTANCES.stream()
                                        .allMatch(i -> mFixture.configVersion(i) == version));
    }

    private void assertHistory(String instance) {
        JsonNode history =
                mFixture.client().fetchPage(mFixture.operatorAddress(instance), "config/history");
        Map<Long, String> requestIds = new HashMap<>();
        for (JsonNode row : history.path("versions")) {
            requestIds.put(row.path("version").asLong(), row.path("request_id").asText());
        }
        mAcceptedRequestIds.forEach(
                (version, requestId) -> assertEquals(requestId, requestIds.get(version), instance));
    }

    private void assertFinalState(long version) {
        awaitVersion(version);
        List.of("i1", "i2", "i3").forEach(this::assertHistory);
        assertEquals(List.of(), mViolations);
    }

    /**
     * Guards against two accepted patches to one version, a lost change and a version that goes
     * back, while operators patch concurrently, instances fail and all instances restart.
     */
    @Test
    void onePatchIsAcceptedPerVersionUnderSeededFaults() throws InterruptedException {
        mFixture.awaitReady();
        mWatcher.start();
        Patch lastPatch = null;
        for (int round = 0; round < ROUNDS; round++) {
            FleetFault fault = FleetFault.INSTANCE_FAULTS.get(round % 4);
            String role = mRandom.nextBoolean() ? "leader" : "other";
            String victim =
                    role.equals("leader") ? mFixture.awaitLeader() : "i" + (1 + mRandom.nextInt(4));
            long delayMillis = mRandom.nextInt(30);
            long holdMillis = 2_500 + mRandom.nextInt(500);
            Thread faultThread =
                    new Thread(() -> injectFault(fault, victim, delayMillis, holdMillis));
            long beginNanos = System.nanoTime();
            faultThread.start();
            lastPatch = sendConcurrentPatches(round + 1);
            mRecoveryTimes.addSample(
                    fault + "-" + role, (System.nanoTime() - beginNanos) / 1_000_000);
            faultThread.join();
            mFixture.awaitReady();
            lastPatch.assertRepeatsGetSameStatus();
        }
        restartAll();
        assertFinalState(ROUNDS + 1);
        if (lastPatch != null) {
            lastPatch.assertRepeatsGetSameStatus();
        }
        System.out.printf("config seed=%d rounds=%d%n", SEED, ROUNDS);
        mRecoveryTimes.print("config");
    }

    private void injectFault(FleetFault fault, String victim, long delayMillis, long holdMillis) {
        LocalFleet.sleep(delayMillis);
        fault.begin(mFixture, victim);
        LocalFleet.sleep(holdMillis);
        fault.end(mFixture, victim);
    }

    private void restartAll() {
        FleetFixture.INSTANCES.forEach(instance -> mFixture.process(instance).kill());
        FleetFixture.INSTANCES.forEach(instance -> mFixture.process(instance).restart());
        mFixture.awaitReady();
    }

    /**
     * Guards against a lost change when disks are lost one after the other, each as soon as the
     * replica on the previous one votes again.
     */
    @Test
    void lostDisksLoseNoChange() throws InterruptedException {
        mFixture.awaitReady();
        mWatcher.start();
        long version = 1;
        for (String instance : List.of("i2", "i1", "i3")) {
            sendConcurrentPatches(version);
            version++;
            long beginNanos = System.nanoTime();
            mFixture.fleet().restartWithEmptyDisk(instance);
            mFixture.fleet()
                    .await(
                            "the replaced replica of " + instance + " votes",
                            60,
                            () -> mFixture.fetchStatus(instance).path("voter").asBoolean());
            mRecoveryTimes.addSample("DISK", (System.nanoTime() - beginNanos) / 1_000_000);
        }
        sendConcurrentPatches(version);
        version++;
        mFixture.awaitReady();
        assertFinalState(version);
        restartAll();
        assertFinalState(version);
        assertTrue(mHighestVersions.values().stream().allMatch(highest -> highest > 1));
        mRecoveryTimes.print("config");
    }

    /**
     * Guards against a version that goes back on an instance that led, acknowledged a change and
     * was killed: the peers that it asks when it starts do not have the change.
     */
    @Test
    void killedLeaderComesBackWithNoOlderVersion() throws InterruptedException {
        mFixture.awaitReady();
        String leader = mFixture.awaitLeader();
        List<String> others =
                List.of("i1", "i2", "i3").stream().filter(id -> !id.equals(leader)).toList();
        String informed = others.get(0);
        String uninformed = others.get(1);
        mFixture.fleet().instanceRelays().isolate(uninformed);
        mFixture.fleet().instanceRelays().isolate("i4");
        assertEquals(200, new Patch(1, "last-of-the-leader").send(leader));
        mFixture.process(leader).kill();
        FleetFault.FREEZE.begin(mFixture, informed);
        mFixture.fleet().instanceRelays().heal();
        // Otherwise the instance that led may ask the frozen peer first, and wait for it.
        mFixture.fleet()
                .await(
                        informed + " counts as dead on " + uninformed,
                        60,
                        () -> statusOf(informed, uninformed).equals("DEAD"));
        // From 5 s after its start on, an instance takes a version that no leader confirms.
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        mFixture.fleet().restartWithEmptyDisk(leader);
        mFixture.fleet()
                .await(
                        "the peers without the change, on the instance that led",
                        60,
                        () -> statusOf(uninformed, leader).equals("ALIVE"));
        long checkedUntilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        assertNoVersionBelow(2, leader, Math.min(endNanos, checkedUntilNanos));
        FleetFault.FREEZE.end(mFixture, informed);
        mFixture.fleet().await("version 2", 60, () -> mFixture.configVersion(leader) == 2);
    }

    private String statusOf(String instance, String reporter) {
        JsonNode page =
                mFixture.client().fetchPage(mFixture.operatorAddress(reporter), "instances");
        for (JsonNode row : page.path("instances")) {
            if (row.path("id").asText().equals(instance)) {
                return row.path("status").asText();
            }
        }
        return "";
    }

    private void assertNoVersionBelow(long version, String instance, long endNanos) {
        while (System.nanoTime() < endNanos) {
            long reported = mFixture.configVersion(instance);
            boolean isInTime = System.nanoTime() < endNanos;
            assertTrue(!isInTime || reported < 0 || reported >= version, "reported " + reported);
            LocalFleet.sleep(5);
        }
    }
}
