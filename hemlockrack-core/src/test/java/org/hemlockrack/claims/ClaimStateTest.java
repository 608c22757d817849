package org.hemlockrack.claims;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.WorkspaceId;
import org.junit.jupiter.api.Test;

class ClaimStateTest {
    private static final BodyHash BODY = BodyHash.of("POST", "/", new byte[1]);
    private static final ClaimResult GRANTED = new ClaimResult.Granted();

    private ClaimLimits mLimits = new ClaimLimits(1000, 3, 4000, 50);
    private ClaimState mState = ClaimState.of(() -> mLimits);
    private long mTimeMillis = 10_000;

    /** Guards against a key that stays blocked by a doubled end; history seeds 104, 410 and 956. */
    @Test
    void doubledFinishDoesNotProlongClaim() {
        assertEquals(GRANTED, claim("k", attempt("i", 1, 0), 0));
        finish("k", attempt("i", 1, 0), 10);
        mTimeMillis += 900;
        assertEquals(new ClaimResult.Recorded(), finish("k", attempt("i", 1, 0), 10));
        mTimeMillis += 100;
        assertEquals(GRANTED, claim("k", attempt("j", 1, 0), 0));
    }

    /** Guards against a grant that nobody waits for and that would block the key. */
    @Test
    void lateClaimIsNotGrantedAfterRelease() {
        AttemptId late = attempt("i", 1, 0);
        assertEquals(new ClaimResult.Released(), release("k", late, 0));
        assertEquals(new ClaimResult.StaleAttempt(1), claim("k", late, 0));
        restart();
        assertEquals(new ClaimResult.StaleAttempt(1), claim("k", late, 0));
        claim("x", attempt("i", 1, 1), 1);
        assertEquals(new ClaimResult.StaleAttempt(1), claim("k", late, 0));
        claim("x", attempt("i", 2, 0), 0);
        assertEquals(new ClaimResult.StaleAttempt(2), claim("k", late, 0));
    }

    /** Guards against unbounded memory per holder and against sequences outside the window. */
    @Test
    void windowBoundsSequences() {
        AttemptId far = attempt("i", 1, AttemptSource.WINDOW);
        assertEquals(new ClaimResult.StaleAttempt(1), claim("k", far, 0));
        assertEquals(GRANTED, claim("k", far, 1));
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 1);
        for (int i = 0; i < AttemptSource.WINDOW; i++) {
            assertTrue(source.next().isPresent());
        }
        assertTrue(source.next().isEmpty());
        source.markResolved(attempt("i", 1, 0));
        assertTrue(source.next().isPresent());
    }

    /** Guards against a forgotten holder whose old attempts are granted again. */
    @Test
    void forgottenHoldersMustRaiseTheirIncarnation() {
        claim("k", attempt("old", 7, 0), 0);
        release("k", attempt("old", 7, 0), 0);
        for (int i = 0; i < 4096; i++) {
            release("k", attempt("h" + i, 3, 0), 0);
        }
        restart();
        assertEquals(new ClaimResult.StaleAttempt(8), claim("k", attempt("old", 7, 0), 0));
        assertEquals(GRANTED, claim("k", attempt("old", 8, 0), 0));
    }

    /** Guards against claims above the bounds, and against answers that use up their room. */
    @Test
    void boundsAreKept() {
        for (int i = 0; i < 3; i++) {
            assertEquals(GRANTED, claim("k" + i, attempt("i", 1, i), i));
        }
        assertEquals(new ClaimResult.Full(), claim("k3", attempt("i", 1, 3), 3));
        finish("k0", attempt("i", 1, 0), 50);
        finish("k1", attempt("i", 1, 1), 51);
        ClaimResult small = claim("k0", attempt("i", 1, 4), 4);
        assertEquals(50, ((ClaimResult.Finished) small).answer().body().length);
        ClaimResult large = claim("k1", attempt("i", 1, 5), 5);
        assertEquals(
                RecordedAnswer.Outcome.WITHOUT_BODY,
                ((ClaimResult.Finished) large).answer().outcome());
        long bytes = mState.totalBytes();
        mTimeMillis += 1000;
        assertEquals(GRANTED, claim("k9", attempt("i", 1, 6), 6));
        assertEquals(1, mState.size());
        assertTrue(mState.totalBytes() < bytes / 2);
        mLimits = new ClaimLimits(1000, 3, 700, 50);
        assertEquals(new ClaimResult.Full(), claim("k8", attempt("i", 1, 7), 7));
    }

    /** Guards against a leader clock that is set back and prolongs or revives claims. */
    @Test
    void timeNeverGoesBack() {
        claim("k", attempt("i", 1, 0), 0);
        mTimeMillis -= 5000;
        finish("k", attempt("i", 1, 0), 1);
        mTimeMillis += 6000;
        assertEquals(GRANTED, claim("k", attempt("i", 1, 1), 1));
    }

    /** Guards against a takeover of a claim that has moved on since the question. */
    @Test
    void takeoverComparesTheAttempt() {
        AttemptId first = attempt("a", 1, 0);
        AttemptId second = attempt("b", 1, 0);
        claim("k", first, 0);
        assertEquals(GRANTED, takeOver("k", second, first));
        assertEquals(new ClaimResult.InProgress(second), takeOver("k", attempt("c", 1, 0), first));
        assertEquals(new ClaimResult.Released(), release("k", first, 0));
        assertEquals(new ClaimResult.NotHeld(), finish("k", first, 1));
        assertEquals(new ClaimResult.Recorded(), finish("k", second, 1));
        assertEquals(new ClaimResult.NotHeld(), release("k", second, 1));
    }

    /** Guards against input that stops a voter and against a snapshot that is not exact. */
    @Test
    void arbitraryBytesAreRefused() {
        SplittableRandom random = new SplittableRandom(1);
        byte[] valid = claimCommand("k", attempt("i", 1, 0), 0, Optional.empty()).encode();
        byte[] before = mState.snapshot();
        for (int i = 0; i < 5000; i++) {
            byte[] bytes = new byte[random.nextInt(60)];
            random.nextBytes(bytes);
            ClaimResult result = ClaimResult.decode(mState.apply(0, 0, bytes));
            assertEquals(new ClaimResult.Malformed(), result);
            assertThrows(HemlockrackException.class, () -> mState.restore(bytes));
            byte[] cut = Arrays.copyOf(valid, random.nextInt(valid.length));
            assertEquals(new ClaimResult.Malformed(), ClaimResult.decode(mState.apply(0, 0, cut)));
        }
        byte[] large = new byte[200 << 10];
        assertEquals(new ClaimResult.Malformed(), ClaimResult.decode(mState.apply(0, 0, large)));
        assertArrayEquals(before, mState.snapshot());
        for (String text : List.of("a#1", "a#1#x", "a#-1#0", "#1#1", "a#1#1#1")) {
            HemlockrackException thrown =
                    assertThrows(HemlockrackException.class, () -> AttemptId.parse(text));
            assertEquals(ErrorKind.BAD_REQUEST, thrown.kind());
        }
    }

    /** Guards against a session that claims without room to remember that it gave up. */
    @Test
    void sessionsNeedAPlaceForTheirAttempt() {
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 1);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        for (int i = 0; i < AbandonedAttempts.MAX_PLACES; i++) {
            assertTrue(abandoned.reserve());
        }
        List<ClaimSession.Output> out = new ArrayList<>();
        ClaimSession.Timeouts times = new ClaimSession.Timeouts(1, 1, 1, 1);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        ClaimSession.of(key, BODY, source, abandoned, times, 1)
                .onEvent(0, new ClaimSession.Started(), out::add);
        assertEquals(ErrorKind.OVERLOADED, ((ClaimSession.Refuse) out.get(0)).kind());
        assertFalse(abandoned.isAbandoned(attempt("i", 1, 0)));
        abandoned.unreserve();
        assertTrue(abandoned.reserve());
    }

    /** Guards against a start whose clock was set back and that can never claim again. */
    @Test
    void staleSourceRaisesItsIncarnation() {
        claim("x", attempt("i", 9, 0), 0);
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 4);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        ClaimSession.Timeouts times = new ClaimSession.Timeouts(10, 10, 10, 10);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        for (Class<?> expected : List.of(ClaimSession.Refuse.class, ClaimSession.Dispatch.class)) {
            List<ClaimSession.Output> out = new ArrayList<>();
            ClaimSession session = ClaimSession.of(key, BODY, source, abandoned, times, 1);
            session.onEvent(0, new ClaimSession.Started(), out::add);
            ClaimCommand command = ((ClaimSession.ProposeClaim) out.get(0)).command();
            ClaimResult result = apply(command);
            session.onEvent(1, new ClaimSession.ClaimApplied(command.attempt(), result), out::add);
            assertEquals(expected, out.get(1).getClass());
        }
    }

    /** Guards against the same as the history seeds 25852, 28269 and 84963, step by step. */
    @Test
    void knowledgeOfNoDispatchOutlivesTheRunLimit() {
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 1);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        ClaimSession.Timeouts times = new ClaimSession.Timeouts(10, 10, 10, 10);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        ClaimSession session = ClaimSession.of(key, BODY, source, abandoned, times, 1);
        List<ClaimSession.Output> out = new ArrayList<>();
        AttemptId attempt = attempt("i", 1, 0);
        session.onEvent(0, new ClaimSession.Started(), out::add);
        session.onEvent(1, new ClaimSession.ClaimApplied(attempt, GRANTED), out::add);
        session.onEvent(99, new ClaimSession.NotDispatched(ErrorKind.NO_BACKEND), out::add);
        assertEquals(ErrorKind.NO_BACKEND, ((ClaimSession.Refuse) out.get(2)).kind());
        assertTrue(abandoned.isAbandoned(attempt));
    }

    private ClaimResult claim(String key, AttemptId attempt, long lowest) {
        return apply(claimCommand(key, attempt, lowest, Optional.empty()));
    }

    private ClaimResult takeOver(String key, AttemptId attempt, AttemptId from) {
        return apply(claimCommand(key, attempt, 0, Optional.of(from)));
    }

    private static ClaimCommand claimCommand(
            String key, AttemptId attempt, long lowest, Optional<AttemptId> from) {
        return new ClaimCommand.Claim(
                new ClaimKey(WorkspaceId.of("w"), key), attempt, lowest, BODY, from);
    }

    private ClaimResult finish(String key, AttemptId attempt, int bodyBytes) {
        RecordedAnswer answer = RecordedAnswer.complete(200, List.of(), new byte[bodyBytes]);
        ClaimKey claimKey = new ClaimKey(WorkspaceId.of("w"), key);
        return apply(new ClaimCommand.Finish(claimKey, attempt, 0, answer));
    }

    private ClaimResult release(String key, AttemptId attempt, long lowest) {
        ClaimKey claimKey = new ClaimKey(WorkspaceId.of("w"), key);
        return apply(new ClaimCommand.Release(claimKey, attempt, lowest));
    }

    private ClaimResult apply(ClaimCommand command) {
        return ClaimResult.decode(mState.apply(0, mTimeMillis, command.encode()));
    }

    private void restart() {
        byte[] snapshot = mState.snapshot();
        mState = ClaimState.of(() -> mLimits);
        mState.restore(snapshot);
        assertArrayEquals(snapshot, mState.snapshot());
    }

    private static AttemptId attempt(String holder, long incarnation, long sequence) {
        return new AttemptId(InstanceId.of(holder), incarnation, sequence);
    }
}
