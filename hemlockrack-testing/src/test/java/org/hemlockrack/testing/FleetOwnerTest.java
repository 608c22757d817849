package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Exclusive ownership: an owner that was suspended past its lease admits no more requests. */
class FleetOwnerTest {
    private static final int ROUNDS = Integer.getInteger("fleet.rounds", 1);
    private static final int LIMIT = 4;
    private static final int CALLERS = 10;
    private static final String BACKEND = "booking-c";

    private final FleetFixture mFixture = FleetFixture.start();
    private final AtomicInteger mNextCommand = new AtomicInteger();
    private final AtomicInteger mSucceeded = new AtomicInteger();

    @BeforeEach
    void startBackends() {
        mFixture.startPlainServer(
                BACKEND, "c", "--limit", Integer.toString(LIMIT), "--token-ms", "60");
        mFixture.awaitReady();
    }

    @AfterEach
    void stop() {
        mFixture.close();
    }

    /**
     * Guards against two instances that admit to the same server, and against a second execution of
     * a command, when a suspended owner resumes after another instance has taken over its server.
     */
    @Test
    void suspendedOwnerAdmitsNothingAfterItsLease() throws InterruptedException {
        RecoveryTimes recoveryTimes = new RecoveryTimes();
        for (int round = 0; round < ROUNDS; round++) {
            runRound(recoveryTimes);
        }
        List<Integer> runs = new ArrayList<>();
        mFixture.fetchStats(BACKEND).path("runs").forEach(count -> runs.add(count.asInt()));
        assertTrue(runs.stream().allMatch(count -> count == 1), () -> "runs " + runs);
        int maxInFlight = mFixture.fetchStats(BACKEND).path("max_in_flight").asInt();
        assertTrue(maxInFlight <= LIMIT, () -> maxInFlight + " requests in flight; limit " + LIMIT);
        System.out.printf(
                "owner rounds=%d commands=%d done=%d runs=%d max_in_flight=%d limit=%d%n",
                ROUNDS, mNextCommand.get(), mSucceeded.get(), runs.size(), maxInFlight, LIMIT);
        recoveryTimes.print("owner");
    }

    private void runRound(RecoveryTimes recoveryTimes) throws InterruptedException {
        AtomicBoolean stopped = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new Thread(() -> sendUntilStopped(stopped)));
        }
        callers.forEach(Thread::start);
        LocalFleet.sleep(500);
        String owner = mFixture.findOwner("i1", BACKEND);
        mFixture.process(owner).sendSignal("STOP");
        long suspendedNanos = System.nanoTime();
        LocalFleet.sleep(1_000);
        int before = mSucceeded.get();
        mFixture.fleet()
                .await(
                        "commands through the next owner",
                        60,
                        () -> mSucceeded.get() > before + CALLERS);
        recoveryTimes.addSample("FREEZE-owner", (System.nanoTime() - suspendedNanos) / 1_000_000);
        assertTrue(
                !mFixture.findOwner("i1", BACKEND).equals(owner),
                "the suspended instance is still the owner");
        mFixture.process(owner).sendSignal("CONT");
        LocalFleet.sleep(2_500);
        stopped.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        mFixture.awaitReady();
        assertEquals(0, mFixture.fetchStats(BACKEND).path("in_flight").asInt());
    }

    private void sendUntilStopped(AtomicBoolean stopped) {
        while (!stopped.get()) {
            int number = mNextCommand.getAndIncrement();
            String instance = number % 2 == 0 ? "i1" : "i2";
            String key = "command-" + number;
            FleetClient.Answer answer =
                    mFixture.client()
                            .sendBooking(mFixture.callerAddress(instance), key, key, 2_000);
            if (answer.status() == 200) {
                mSucceeded.incrementAndGet();
            } else {
                LocalFleet.sleep(50);
            }
        }
    }
}
