package org.hemlockrack.decider;

import java.util.function.Consumer;

/**
 * A deterministic state machine that turns events into outputs. It has no I/O, threads, clock or
 * random source of its own; its caller delivers events, calls it when its timer is due and executes
 * the outputs.
 *
 * <p>The caller passes a monotonic time with each call, which must not decrease. A decider is not
 * thread-safe and must be confined to one thread. Given the same construction arguments and the
 * same sequence of calls it emits the same outputs, so that tests, fuzzers and external harnesses
 * can drive it in place of the daemon.
 *
 * @param <I> events that the decider accepts, normally a sealed interface of records
 * @param <O> outputs that the decider emits, normally a sealed interface of records
 */
public interface Decider<I, O> {
    /** Returned by {@link #nextTimerNanos()} when no timer is set. */
    long NO_TIMER = Long.MAX_VALUE;

    /**
     * Handles one event.
     *
     * @param nowNanos monotonic time
     * @param event the event
     * @param out receives the outputs in the order in which they must be executed
     */
    void onEvent(long nowNanos, I event, Consumer<? super O> out);

    /**
     * Handles all timers that are due. Calling it early has no effect.
     *
     * @param nowNanos monotonic time
     * @param out receives the outputs in the order in which they must be executed
     */
    void onTimer(long nowNanos, Consumer<? super O> out);

    /**
     * Returns when {@link #onTimer} must be called next.
     *
     * @return monotonic time in nanoseconds, or {@link #NO_TIMER}
     */
    long nextTimerNanos();
}
