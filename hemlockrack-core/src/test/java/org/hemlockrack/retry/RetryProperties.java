package org.hemlockrack.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.RequestKind;

class RetryProperties {
    private static final RetryBudgetSettings SETTINGS = RetryBudgetSettings.defaults();

    /** Guards against an outage that multiplies load. */
    @Property(tries = 1000)
    void budgetBoundsAttemptsInOutage(@ForAll long seed) {
        outage(seed, RetryBudget.create(SETTINGS));
    }

    /** The property must see a budget that grants everything. */
    @Example
    void catchesUnlimitedBudget() {
        RetryBudget unlimited = RetryBudget.create(new RetryBudgetSettings(1e6, 1e6, 1e6));
        assertThrows(AssertionError.class, () -> outage(1, unlimited));
    }

    /** Guards against a small service that can never retry. */
    @Example
    void smallTrafficCanRetry() {
        RetryBudget budget = RetryBudget.create(new RetryBudgetSettings(0.1, 3, 3));
        int granted = 0;
        for (int i = 0; i < 1000; i++) {
            granted += budget.tryTake(TimeUnit.MILLISECONDS.toNanos(10L * i)) ? 1 : 0;
        }
        assertEquals(3 + 29, granted, 1);
    }

    /** Guards against a second run of a command (R7) and against a false not_run (R6). */
    @Property(tries = 1000)
    void runStateIsTrue(@ForAll long seed) {
        attempts(seed, UnaryOperator.identity());
    }

    /** The property must see a run state that forgets earlier attempts. */
    @Example
    void catchesForgottenAttempts() {
        assertThrows(AssertionError.class, () -> attempts(FORGOTTEN_SEED, RetryProperties::forget));
    }

    private static final long FORGOTTEN_SEED = 17;

    private static FailedAttempt forget(FailedAttempt f) {
        boolean sent = f.requestByteSent();
        return new FailedAttempt(
                f.kind(), f.requestKind(), sent, false, RunState.NOT_RUN, f.attempts(), 1L << 40);
    }

    private static void outage(long seed, RetryBudget budget) {
        Random random = new Random(seed);
        long now = 0;
        long requests = 0;
        long retries = 0;
        for (int i = 0; i < 500; i++) {
            now += random.nextInt(20_000_000);
            requests++;
            budget.onRequest(now);
            int attempts = 1;
            while (decide(now, attempts, budget).action() != RetryAction.GIVE_UP) {
                attempts++;
            }
            retries += attempts - 1;
            double seconds = now / 1e9;
            double bound =
                    SETTINGS.burst()
                            + requests * SETTINGS.requestShare()
                            + seconds * SETTINGS.minPerSecond();
            assertTrue(retries <= bound + 1e-6, retries + " retries, bound " + bound);
        }
    }

    private static RetryDecision decide(long now, int attempts, RetryBudget budget) {
        RunState earlier = attempts == 1 ? RunState.NOT_RUN : RunState.UNKNOWN;
        FailedAttempt failed = broken(false, earlier, attempts, Long.MAX_VALUE);
        return RetryPolicy.decide(now, failed, budget);
    }

    private static FailedAttempt broken(
            boolean answered, RunState earlier, int attempts, long remainingNanos) {
        ErrorKind kind = ErrorKind.BACKEND_FAILED;
        return new FailedAttempt(
                kind, RequestKind.CHAT, true, answered, earlier, attempts, remainingNanos);
    }

    private static void attempts(long seed, UnaryOperator<FailedAttempt> change) {
        Random random = new Random(seed);
        RequestKind kind = RequestKind.values()[random.nextInt(3)];
        RetryBudget budget = RetryBudget.create(SETTINGS);
        RunState state = RunState.NOT_RUN;
        boolean mayHaveRun = false;
        for (int attempt = 1; attempt < 10; attempt++) {
            ErrorKind error = ErrorKind.values()[random.nextInt(ErrorKind.values().length)];
            boolean sent = random.nextBoolean();
            mayHaveRun |= sent && error.runState() != RunState.NOT_RUN;
            FailedAttempt failed =
                    new FailedAttempt(error, kind, sent, false, state, attempt, Long.MAX_VALUE);
            RetryDecision decision = RetryPolicy.decide(0, change.apply(failed), budget);
            state = decision.runState();
            assertEquals(mayHaveRun, state != RunState.NOT_RUN, "run state");
            if (decision.action() == RetryAction.GIVE_UP) {
                return;
            }
            assertTrue(kind.isIdempotent() || !mayHaveRun, "a command may run twice");
        }
        throw new AssertionError("more attempts than the policy permits");
    }

    /** Guards against retries without time left, or after answer bytes went out. */
    @Example
    void noRetryWithoutTimeOrAfterAnswerBytes() {
        RetryBudget budget = RetryBudget.create(SETTINGS);
        for (boolean answered : new boolean[] {false, true}) {
            long remaining = answered ? Long.MAX_VALUE : RetryPolicy.MIN_REMAINING_NANOS - 1;
            FailedAttempt failed = broken(answered, RunState.NOT_RUN, 1, remaining);
            RetryDecision expected = new RetryDecision(RetryAction.GIVE_UP, RunState.UNKNOWN);
            assertEquals(expected, RetryPolicy.decide(0, failed, budget));
        }
    }
}
