package org.hemlockrack.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.junit.jupiter.api.Test;

class CrashAnalysisTest {
    private static final long FIRST_HOLD_MILLIS =
            TimeUnit.NANOSECONDS.toMillis(CrashAnalysis.FIRST_HOLD_NANOS);

    private final CrashAnalysis mAnalysis = CrashAnalysis.create(0);
    private ServerActivity mActivity = (server, startMillis, sinceNanos) -> false;
    private long mNowMillis = 10_000;
    private long mNextAttempt = 1;

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private void cut(String server, String... parts) {
        mAnalysis.recordCut(
                nowNanos(),
                new Cut(BackendId.of(server), 1, mNextAttempt++, List.of(parts), null),
                nowNanos());
    }

    /** A server ends; one request with the parts had no answer, one had begun. */
    private void crash(String server, String... parts) {
        cut(server, parts);
        cut(server);
    }

    private void answer(String part) {
        mAnalysis.recordAnswer(part, nowNanos());
    }

    private void pass(long millis) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
            mNowMillis = Math.min(endMillis, mNowMillis + 100);
            mAnalysis.evaluate(nowNanos(), mActivity);
        }
    }

    private boolean isHeld(String... parts) {
        return mAnalysis.verdicts().inForce(nowNanos(), List.of(parts)) != null;
    }

    private void crashThrice(String... parts) {
        for (int i = 0; i < 3; i++) {
            crash("s" + mNextAttempt, parts);
            pass(500);
        }
        pass(1_000);
    }

    /** Guards against a part that crashes one server after the other. */
    @Test
    void partOfThreeCrashesIsHeldBack() {
        crash("s1", "base", "bad");
        pass(300);
        answer("base");
        crash("s2", "base", "bad");
        pass(300);
        answer("base");
        assertFalse(isHeld("bad"));
        crash("s3", "base", "bad");
        answer("base");
        pass(600);
        assertTrue(isHeld("base", "bad"));
        assertFalse(isHeld("base"));
    }

    /** Guards against accusing what all requests share while no server is left to answer it. */
    @Test
    void deeperPartIsAccusedIfNothingElseTellsThePartsApart() {
        crashThrice("base", "bad");
        assertTrue(isHeld("bad"));
        assertFalse(isHeld("base"));
    }

    /** Guards against accusing a part of the crash of a rack, which ends servers together. */
    @Test
    void simultaneousCrashesCountOnce() {
        for (int i = 0; i < 6; i++) {
            crash("s" + i, "part");
        }
        pass(5_000);
        assertFalse(isHeld("part"));
    }

    /** Guards against taking the reset of a single connection for a crash. */
    @Test
    void resetOfOneConnectionIsNoCrash() {
        for (int i = 0; i < 5; i++) {
            cut("s" + i, "part");
            pass(500);
        }
        assertFalse(isHeld("part"));
    }

    /** Guards against missing the crash of a server that had one request only. */
    @Test
    void refusedConnectionConfirmsACrash() {
        for (int i = 0; i < 3; i++) {
            cut("s" + i, "part");
            mNowMillis += 300;
            Cut refused = Cut.refusedConnection(BackendId.of("s" + i), 1);
            mAnalysis.recordCut(nowNanos(), refused, nowNanos());
            pass(500);
        }
        pass(500);
        assertTrue(isHeld("part"));
    }

    /** Guards against counting a report twice, which would make one cut look like a crash. */
    @Test
    void repeatedReportCountsOnce() {
        for (int i = 0; i < 3; i++) {
            Cut cut = new Cut(BackendId.of("s" + i), 1, 100 + i, List.of("part"), null);
            mAnalysis.recordCut(nowNanos(), cut, nowNanos());
            mAnalysis.recordCut(nowNanos(), cut, nowNanos());
            pass(500);
        }
        pass(500);
        assertFalse(isHeld("part"));
    }

    /** Guards against accusing a part because servers that run cut connections. */
    @Test
    void serverThatSendsHeartbeatsHasNotCrashed() {
        mActivity = (server, startMillis, sinceNanos) -> nowNanos() - sinceNanos > 0;
        for (int i = 0; i < 4; i++) {
            crash("s" + i, "part");
            pass(3_000);
        }
        assertFalse(isHeld("part"));
    }

    /** Guards against a decision that never ends, and against one that ends too often. */
    @Test
    void decisionEndsAndIsRenewedForLonger() {
        crashThrice("bad");
        assertTrue(isHeld("bad"));
        pass(FIRST_HOLD_MILLIS);
        assertFalse(isHeld("bad"));
        crash("s90", "bad");
        pass(200);
        assertTrue(isHeld("bad"));
        pass(3 * FIRST_HOLD_MILLIS);
        assertTrue(isHeld("bad"));
        pass(FIRST_HOLD_MILLIS);
        assertFalse(isHeld("bad"));
    }

    /** Guards against a decision that outlives the proof that the part is sound. */
    @Test
    void answerLiftsTheDecision() {
        crashThrice("part");
        assertTrue(isHeld("part"));
        answer("part");
        pass(100);
        assertFalse(isHeld("part"));
        pass(5_000);
        assertFalse(isHeld("part"));
    }

    /** Guards against evidence that brings a decision back at once after an operator lifted it. */
    @Test
    void operatorLiftsTheDecision() {
        crashThrice("part");
        assertNotNull(mAnalysis.lift(nowNanos(), "part"));
        pass(5_000);
        assertFalse(isHeld("part"));
        assertNull(mAnalysis.lift(nowNanos(), "part"));
        crashThrice("part");
        assertTrue(isHeld("part"));
    }

    /** Guards against missing the second of two parts whose requests crash servers at once. */
    @Test
    void twoPartsAreHeldBack() {
        for (int i = 0; i < 4; i++) {
            crash("a" + i, "base", "bad-1");
            pass(200);
            answer("base");
            crash("b" + i, "base", "bad-2");
            pass(200);
            answer("base");
        }
        pass(1_000);
        assertTrue(isHeld("bad-1"));
        assertTrue(isHeld("bad-2"));
        assertFalse(isHeld("base"));
    }

    /** Guards against a neighbour that stays held back once the part at fault is known. */
    @Test
    void decisionIsLiftedIfAnotherPartAccountsForItsCrashes() {
        crashThrice("bad", "chat");
        assertTrue(isHeld("chat"));
        crashThrice("bad", "other");
        pass(1_000);
        assertTrue(isHeld("bad"));
        assertFalse(isHeld("chat"));
    }

    /** Guards against evidence without bound. */
    @Test
    void evidenceIsBounded() {
        for (int i = 0; i < 2_000; i++) {
            crash("s" + i, "part-" + i, "x-" + i);
            answer("answered-" + i);
            mNowMillis += 5;
        }
        pass(1_000);
        assertTrue(mAnalysis.watchedParts().size() <= CrashAnalysis.MAX_WATCHED_PARTS);
        pass(2 * FIRST_HOLD_MILLIS);
        assertEquals(Set.of(), mAnalysis.watchedParts());
    }

    /** A server ends; a request and one that had begun are cut. */
    private void crashUnder(String server, String ownPart) {
        mAnalysis.recordCut(
                nowNanos(),
                new Cut(BackendId.of(server), 1, mNextAttempt++, List.of("base"), ownPart),
                nowNanos());
        cut(server);
    }

    /**
     * Guards against a request that crashes one server after the other because its caller sends it
     * again. All that it shares with other requests is sound.
     */
    @Test
    void requestThatCrashesThreeServersIsHeldBack() {
        for (int i = 1; i <= 3; i++) {
            assertFalse(isHeld("own"));
            crashUnder("s" + i, "own");
            assertTrue(mAnalysis.watchedParts().contains("own"));
            pass(100);
            answer("base");
            crash("other" + i, "base", "other");
            pass(400);
            answer("base");
            answer("other");
        }
        pass(1_000);
        assertTrue(isHeld("own"));
        assertFalse(isHeld("base", "other"));
    }

    /** Guards against holding back a request that was cut by chance, and was answered later. */
    @Test
    void requestThatIsAnsweredIsNotHeldBack() {
        crashUnder("s1", "own");
        pass(500);
        crashUnder("s2", "own");
        pass(500);
        answer("own");
        crashUnder("s3", "own");
        pass(500);
        crashUnder("s4", "own");
        pass(1_000);
        assertFalse(isHeld("own"));
    }

    /**
     * Guards against a request that hides a shared part: it is held back itself, and the part that
     * crashes servers in other requests too must be found all the same.
     */
    @Test
    void heldRequestDoesNotHideASharedPart() {
        for (int i = 1; i <= 3; i++) {
            mAnalysis.recordCut(
                    nowNanos(),
                    new Cut(
                            BackendId.of("s" + i),
                            1,
                            mNextAttempt++,
                            List.of("base", "bad"),
                            "own"),
                    nowNanos());
            cut("s" + i);
            pass(400);
            answer("base");
        }
        pass(1_000);
        assertTrue(isHeld("bad"));
    }
}
