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

    /** Retries must not multiply the load during an outage: they must stay within the budget. */
    @Property(tries = 1000)
    void budgetBoundsAttemptsInOutage(@ForAll long seed) {
        checkRetriesInOutage(seed, RetryBudget.create(SETTINGS));
    }

    /** The property above must fail for a budget that grants every retry. */
    @Example
    void detectsUnlimitedBudget() {
        RetryBudget unlimited = RetryBudget.create(new RetryBudgetSettings(1e6, 1e6, 1e6));
        assertThrows(AssertionError.class, () -> checkRetriesInOutage(1, unlimited));
    }

    /** A service with few requests must still be able to retry. */
    @Example
    void lowTrafficCanRetry() {
        RetryBudget budget = RetryBudget.create(new RetryBudgetSettings(0.1, 3, 3));
        int granted = 0;
        for (int i = 0; i < 1000; i++) {
            granted += budget.tryTake(TimeUnit.MILLISECONDS.toNanos(10L * i)) ? 1 : 0;
        }
        assertEquals(3 + 29, granted, 1);
    }

    /** A command must not run twice, and a request that may have run must not count as not run. */
    @Property(tries = RUN_STATE_TRIES)
    void runStateCoversAllAttempts(@ForAll long seed) {
        checkRunStates(seed, UnaryOperator.identity());
    }

    /** The property above must fail for a run state that ignores earlier attempts. */
    @Example
    void detectsIgnoredAttempts() {
        assertThrows(
                AssertionError.class,
                () -> {
                    for (long seed = 0; seed < RUN_STATE_TRIES; seed++) {
                        checkRunStates(seed, RetryProperties::withoutEarlierRunState);
                    }
                });
    }

    private static final int RUN_STATE_TRIES = 1_000;

    private static FailedAttempt withoutEarlierRunState(FailedAttempt f) {
        boolean sent = f.requestByteSent();
        return new FailedAttempt(
                f.kind(), f.requestKind(), sent, false, RunState.NOT_RUN, f.attempts(), 1L << 40);
    }

    private static void checkRetriesInOutage(long seed, RetryBudget budget) {
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
        FailedAttempt failed = brokenAttempt(false, earlier, attempts, Long.MAX_VALUE);
        return RetryPolicy.decide(now, failed, budget);
    }

    private static FailedAttempt brokenAttempt(
            boolean answered, RunState earlier, int attempts, long remainingNanos) {
        ErrorKind kind = ErrorKind.BACKEND_FAILED;
        return new FailedAttempt(
                kind, RequestKind.CHAT, true, answered, earlier, attempts, remainingNanos);
    }

    private static void checkRunStates(long seed, UnaryOperator<FailedAttempt> change) {
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

    /** No retry without time left, or after answer bytes were sent to the caller. */
    @Example
    void noRetryWithoutTimeOrAfterAnswerBytes() {
        RetryBudget budget = RetryBudget.create(SETTINGS);
        for (boolean answered : new boolean[] {false, true}) {
            long remaining = answered ? Long.MAX_VALUE : RetryPolicy.MIN_REMAINING_NANOS - 1;
            FailedAttempt failed = brokenAttempt(answered, RunState.NOT_RUN, 1, remaining);
            RetryDecision expected = new RetryDecision(RetryAction.GIVE_UP, RunState.UNKNOWN);
            assertEquals(expected, RetryPolicy.decide(0, failed, budget));
        }
    }
}
