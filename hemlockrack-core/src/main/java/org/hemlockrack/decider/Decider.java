package org.hemlockrack.decider;

import java.util.function.Consumer;

/**
 * A deterministic event handler: the decisions of one slice without I/O, threads, clock or random
 * source of its own.
 *
 * <p>The caller passes monotonic time with each call and never lets it go backwards. A decider is
 * not thread-safe; its owner confines it to one thread. Given the same construction arguments and
 * the same sequence of calls it emits the same outputs, so tests, fuzzers and external test benches
 * can drive it in place of the daemon.
 *
 * @param <I> events the decider accepts, normally a sealed interface of records
 * @param <O> outputs the decider emits, normally a sealed interface of records
 */
public interface Decider<I, O> {
    /** Returned by {@link #nextTimerNanos()} when no timer is set. */
    long NO_TIMER = Long.MAX_VALUE;

    /**
     * Handles one event.
     *
     * @param nowNanos monotonic time
     * @param event the event
     * @param out receives the outputs in the order in which they must be carried out
     */
    void onEvent(long nowNanos, I event, Consumer<? super O> out);

    /**
     * Handles all timers that are due. Calling it early has no effect.
     *
     * @param nowNanos monotonic time
     * @param out receives the outputs in the order in which they must be carried out
     */
    void onTimer(long nowNanos, Consumer<? super O> out);

    /**
     * Returns when {@link #onTimer} must be called next.
     *
     * @return monotonic time in nanoseconds, or {@link #NO_TIMER}
     */
    long nextTimerNanos();
}
