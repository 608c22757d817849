package org.hemlockrack.daemon.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.jspecify.annotations.Nullable;

/**
 * Runs a decider on an event loop: passes events to it, schedules its timer and executes its
 * outputs.
 *
 * @param <I> events of the decider
 * @param <O> outputs of the decider
 */
public final class DeciderRunner<I, O> {
    private final EventLoop mLoop;
    private final Decider<I, O> mDecider;
    private final Consumer<? super O> mOutputHandler;

    private @Nullable ScheduledFuture<?> mTimer;
    private long mTimerNanos = Decider.NO_TIMER;

    private DeciderRunner(EventLoop loop, Decider<I, O> decider, Consumer<? super O> outputs) {
        mLoop = loop;
        mDecider = decider;
        mOutputHandler = outputs;
    }

    /**
     * Creates a runner. Its methods must be called on the event loop.
     *
     * @param loop event loop that the decider is confined to
     * @param decider the decider
     * @param outputs executes outputs, on the event loop, after the decider has returned
     * @param <I> events of the decider
     * @param <O> outputs of the decider
     * @return the runner
     */
    public static <I, O> DeciderRunner<I, O> create(
            EventLoop loop, Decider<I, O> decider, Consumer<? super O> outputs) {
        DeciderRunner<I, O> runner = new DeciderRunner<>(loop, decider, outputs);
        runner.updateTimer();
        return runner;
    }

    /**
     * Passes an event to the decider and executes the outputs before it returns.
     *
     * @param event the event
     */
    public void handleEvent(I event) {
        List<O> outputs = new ArrayList<>();
        mDecider.onEvent(mLoop.nowNanos(), event, outputs::add);
        updateTimer();
        outputs.forEach(mOutputHandler);
    }

    private void onTimerDue() {
        mTimerNanos = Decider.NO_TIMER;
        List<O> outputs = new ArrayList<>();
        mDecider.onTimer(mLoop.nowNanos(), outputs::add);
        updateTimer();
        outputs.forEach(mOutputHandler);
    }

    private void updateTimer() {
        long atNanos = mDecider.nextTimerNanos();
        if (atNanos == mTimerNanos) {
            return;
        }
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
        mTimerNanos = atNanos;
        if (atNanos != Decider.NO_TIMER) {
            mTimer = mLoop.scheduleAt(atNanos, this::onTimerDue);
        }
    }

    /** Reschedules the timer. Must be called after the decider's state changed without an event. */
    public void rearmTimer() {
        updateTimer();
    }

    /** Stops the timer. */
    public void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
