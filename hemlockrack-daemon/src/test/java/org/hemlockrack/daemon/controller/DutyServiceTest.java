package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.controller.FakePlatform.Executed;
import org.hemlockrack.daemon.controller.FakePlatform.Mode;
import org.hemlockrack.duties.Duty;
import org.junit.jupiter.api.Test;

class DutyServiceTest {
    private static final String USAGE = "/usage";
    private static final String REPLICAS = "/replicas";

    private final DutyFleet mFleet = new DutyFleet();
    private final FakePlatform mPlatform = mFleet.platform();

    private static long windowOf(Executed call) {
        return Long.parseLong(call.body().substring(0, call.body().indexOf(' ')));
    }

    /** Requires that every ended window was accepted, always with the same, right counts. */
    private void assertAllReported(long dueMillis) {
        Map<Long, String> bodies = new HashMap<>();
        for (Executed call : mPlatform.accepted(USAGE)) {
            String known = bodies.putIfAbsent(windowOf(call), call.body());
            assertTrue(known == null || known.equals(call.body()), call.toString());
        }
        mFleet.truth()
                .forEach(
                        (window, count) -> {
                            if ((window + 1) * 5_000 + dueMillis <= mFleet.nowMillis()) {
                                assertEquals(window + " {w=" + count + "}", bodies.get(window));
                            }
                        });
    }

    private List<Executed> callsUnder(long token) {
        return mPlatform.executed().stream().filter(each -> each.token() == token).toList();
    }

    /** Guards against reports that are late, repeated or wrong while nothing fails. */
    @Test
    void eachWindowIsReportedOnceInTime() {
        mFleet.run(60_000);
        assertAllReported(10_000);
        assertEquals(
                mPlatform.accepted(USAGE).size(),
                mPlatform.accepted(USAGE).stream().map(Executed::body).distinct().count());
        assertEquals(1, mFleet.node(0).service().highestToken());
    }

    /** Guards against calls beyond the rate, and against a window given up after a 429. */
    @Test
    void limitedCallsAreRepeatedWithinTheRate() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.LIMITS);
        int before = mPlatform.attemptMillis().size();
        mFleet.run(30_000);
        int tries = mPlatform.attemptMillis().size() - before;
        assertTrue(tries > 5 && tries < 40, tries + " tries in 30 s");
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(10_000);
        assertAllReported(10_000);
    }

    /** Guards against windows that are lost or changed while the platform is absent. */
    @Test
    void windowsWaitForAnAbsentPlatform() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.ABSENT);
        mFleet.run(100_000);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(12_000);
        assertAllReported(10_000);
    }

    /**
     * Guards against other counts in a repeat of a call that a slow platform executes after newer
     * ones, also after the repeat came from another holder.
     */
    @Test
    void lateExecutionAfterNewerCallsDoesNoHarm() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.LATE);
        mFleet.run(20_000);
        mFleet.elect(1);
        mFleet.run(5_000);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(20_000);
        mPlatform.executeLate();
        assertAllReported(10_000);
        assertTrue(callsUnder(1).stream().anyMatch(each -> each.status() == 409));
    }

    /** Guards against two holders within a lease, and against counts lost with the holder. */
    @Test
    void nextLeaderWaitsForTheLease() {
        mFleet.run(31_000);
        long electedMillis = mFleet.nowMillis();
        mFleet.elect(1);
        mFleet.run(30_000);
        mFleet.elect(0);
        mFleet.run(30_000);
        assertAllReported(10_000);
        long firstMillis = callsUnder(2).get(0).atMillis();
        assertTrue(firstMillis - electedMillis >= DutyFleet.LEASE_MILLIS, firstMillis + "");
        assertTrue(callsUnder(1).stream().allMatch(each -> each.atMillis() <= electedMillis));
        assertFalse(callsUnder(3).isEmpty());
    }

    /** Guards against a suspended holder that goes on where it stopped. */
    @Test
    void frozenHolderMakesNoCall() {
        mPlatform.setMode(Mode.ABSENT);
        mFleet.run(30_000);
        mFleet.node(0).freeze(8_000);
        mFleet.elect(1);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(20_000);
        assertTrue(callsUnder(1).isEmpty());
        assertFalse(callsUnder(2).isEmpty());
        assertAllReported(10_000);
    }

    /** Guards against a process that goes on with the token of the one before the restart. */
    @Test
    void restartedControllerTakesNewToken() {
        mFleet.run(30_000);
        mFleet.node(0).restart();
        mFleet.elect(0);
        mFleet.run(30_000);
        assertEquals(2, mFleet.state().token(Duty.METERING));
        assertEquals(2, mFleet.node(0).service().highestToken());
        assertAllReported(10_000);
    }

    /** Guards against calls with a refused token, and against a duty that nobody does any more. */
    @Test
    void refusedTokenIsReplaced() {
        mFleet.run(20_000);
        mPlatform.seeToken(USAGE, 3);
        mFleet.run(60_000);
        for (long token = 1; token <= 2; token++) {
            assertEquals(
                    1, callsUnder(token).stream().filter(each -> each.status() == 409).count());
        }
        assertAllReported(10_000);
    }

    /** Guards against orders for a service whose number of servers suits its demand. */
    @Test
    void suitableNumberOfServersGetsNoOrder() {
        mFleet.run(120_000);
        assertTrue(mPlatform.accepted(REPLICAS).isEmpty());
    }

    /** Guards against orders that are queued, and against one that is not repeated after a 429. */
    @Test
    void newestOrderIsRepeatedUntilAccepted() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.LIMITS);
        mFleet.setRunning(20 * DutyFleet.SLOTS);
        mFleet.run(10_000);
        mFleet.setRunning(24 * DutyFleet.SLOTS);
        mFleet.run(20_000);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(10_000);
        List<Executed> orders = mPlatform.accepted(REPLICAS);
        assertEquals(1, orders.size(), orders.toString());
        assertTrue(Integer.parseInt(orders.get(0).body()) >= 24 / 0.75, orders.toString());
    }

    /** Guards against a number of servers that stays as a late, older call has set it. */
    @Test
    void orderOverwrittenByALateCallIsRepeated() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.LATE);
        mFleet.setRunning(20 * DutyFleet.SLOTS);
        mFleet.run(5_000);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.setRunning(24 * DutyFleet.SLOTS);
        mFleet.run(10_000);
        double needed = 24 / 0.75;
        assertTrue(lastOrder() >= needed);
        mPlatform.executeLate();
        assertTrue(lastOrder() < needed);
        mFleet.run(60_000);
        assertTrue(lastOrder() >= needed);
    }

    /** Guards against a frozen holder whose order would undo that of the next one. */
    @Test
    void frozenHolderGivesNoOrder() {
        mFleet.run(20_000);
        mPlatform.setMode(Mode.ABSENT);
        mFleet.setRunning(24 * DutyFleet.SLOTS);
        mFleet.run(5_000);
        mFleet.node(0).freeze(8_000);
        mFleet.elect(1);
        mPlatform.setMode(Mode.ANSWERS);
        mFleet.run(30_000);
        assertFalse(mPlatform.accepted(REPLICAS).isEmpty());
        assertTrue(mPlatform.accepted(REPLICAS).stream().allMatch(each -> each.token() == 2));
    }

    private int lastOrder() {
        List<Executed> orders = mPlatform.accepted(REPLICAS);
        return Integer.parseInt(orders.get(orders.size() - 1).body());
    }
}
