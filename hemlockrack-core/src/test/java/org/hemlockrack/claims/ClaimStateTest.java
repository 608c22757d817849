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

    /**
     * Guards against a duplicate finish that extends the expiry of a claim and so keeps its key
     * blocked; see seeds 104, 410 and 956 of {@link ClaimHistoryProperties}.
     */
    @Test
    void duplicateFinishDoesNotExtendClaim() {
        assertEquals(GRANTED, claim("k", attempt("i", 1, 0), 0));
        finish("k", attempt("i", 1, 0), 10);
        mTimeMillis += 900;
        assertEquals(new ClaimResult.Recorded(), finish("k", attempt("i", 1, 0), 10));
        mTimeMillis += 100;
        assertEquals(GRANTED, claim("k", attempt("j", 1, 0), 0));
    }

    /** Guards against granting a claim after its attempt was released, which blocks the key. */
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

    /** Guards against granting old attempts of a holder again after the holder was evicted. */
    @Test
    void evictedHoldersMustRaiseTheirIncarnation() {
        claim("k", attempt("old", 7, 0), 0);
        release("k", attempt("old", 7, 0), 0);
        for (int i = 0; i < 4096; i++) {
            release("k", attempt("h" + i, 3, 0), 0);
        }
        restart();
        assertEquals(new ClaimResult.StaleAttempt(8), claim("k", attempt("old", 7, 0), 0));
        assertEquals(GRANTED, claim("k", attempt("old", 8, 0), 0));
    }

    /** Guards against claims above the limits, and against answers that prevent new claims. */
    @Test
    void boundsAreEnforced() {
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

    /** Guards against a leader clock that is set back and thereby extends or revives claims. */
    @Test
    void timeNeverGoesBackwards() {
        claim("k", attempt("i", 1, 0), 0);
        mTimeMillis -= 5000;
        finish("k", attempt("i", 1, 0), 1);
        mTimeMillis += 6000;
        assertEquals(GRANTED, claim("k", attempt("i", 1, 1), 1));
    }

    /** Guards against taking over a claim whose holder changed since the holder was queried. */
    @Test
    void takeoverRequiresTheCurrentHolder() {
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

    /**
     * Guards against malformed commands that stop a voter or change the state, and against
     * malformed snapshots and attempt ids that are accepted.
     */
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

    /** Guards against a session that claims without capacity to store its abandoned attempt. */
    @Test
    void sessionIsRefusedWhenAbandonedAttemptsAreFull() {
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 1);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        for (int i = 0; i < AbandonedAttempts.MAX_ENTRIES; i++) {
            assertTrue(abandoned.tryReserve());
        }
        List<ClaimSession.Output> out = new ArrayList<>();
        ClaimSession.Timeouts timeouts = new ClaimSession.Timeouts(1, 1, 1, 1);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        ClaimSession.of(key, BODY, source, abandoned, timeouts, 1)
                .onEvent(0, new ClaimSession.Started(), out::add);
        assertEquals(ErrorKind.OVERLOADED, ((ClaimSession.Refuse) out.get(0)).kind());
        assertFalse(abandoned.isAbandoned(attempt("i", 1, 0)));
        abandoned.cancelReservation();
        assertTrue(abandoned.tryReserve());
    }

    /** Guards against an instance that can never claim again after its clock was set back. */
    @Test
    void staleSourceRaisesItsIncarnation() {
        claim("x", attempt("i", 9, 0), 0);
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 4);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        ClaimSession.Timeouts timeouts = new ClaimSession.Timeouts(10, 10, 10, 10);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        for (Class<?> expected : List.of(ClaimSession.Refuse.class, ClaimSession.Dispatch.class)) {
            List<ClaimSession.Output> out = new ArrayList<>();
            ClaimSession session = ClaimSession.of(key, BODY, source, abandoned, timeouts, 1);
            session.onEvent(0, new ClaimSession.Started(), out::add);
            ClaimCommand command = ((ClaimSession.ProposeClaim) out.get(0)).command();
            ClaimResult result = apply(command);
            session.onEvent(1, new ClaimSession.ClaimApplied(command.attempt(), result), out::add);
            assertEquals(expected, out.get(1).getClass());
        }
    }

    /**
     * Guards against reporting an unknown outcome when a NotDispatched event arrives after the time
     * limit of the run; the direct form of seeds 25852, 28269 and 84963 of {@link
     * ClaimHistoryProperties}.
     */
    @Test
    void notDispatchedEventIsHandledAfterTheRunLimit() {
        AttemptSource source = AttemptSource.of(InstanceId.of("i"), 1);
        AbandonedAttempts abandoned = AbandonedAttempts.of(source);
        ClaimSession.Timeouts timeouts = new ClaimSession.Timeouts(10, 10, 10, 10);
        ClaimKey key = new ClaimKey(WorkspaceId.of("w"), "k");
        ClaimSession session = ClaimSession.of(key, BODY, source, abandoned, timeouts, 1);
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
