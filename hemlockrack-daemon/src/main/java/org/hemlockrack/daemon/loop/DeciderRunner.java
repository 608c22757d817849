package org.hemlockrack.daemon.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.jspecify.annotations.Nullable;

/**
 * Drives one decider on a loop: feeds events, keeps its timer and carries out its outputs.
 *
 * @param <I> events of the decider
 * @param <O> outputs of the decider
 */
public final class DeciderRunner<I, O> {
    private final EventLoop mLoop;
    private final Decider<I, O> mDecider;
    private final Consumer<? super O> mOutputs;

    private @Nullable ScheduledFuture<?> mTimer;
    private long mTimerAtNanos = Decider.NO_TIMER;

    private DeciderRunner(EventLoop loop, Decider<I, O> decider, Consumer<? super O> outputs) {
        mLoop = loop;
        mDecider = decider;
        mOutputs = outputs;
    }

    /**
     * Creates a runner. Its methods must be called on the loop.
     *
     * @param loop owner of the decider
     * @param decider the decider
     * @param outputs carries out outputs, on the loop, after the decider has returned
     * @param <I> events of the decider
     * @param <O> outputs of the decider
     * @return the runner
     */
    public static <I, O> DeciderRunner<I, O> create(
            EventLoop loop, Decider<I, O> decider, Consumer<? super O> outputs) {
        DeciderRunner<I, O> runner = new DeciderRunner<>(loop, decider, outputs);
        runner.arm();
        return runner;
    }

    /**
     * Feeds one event and carries out the outputs.
     *
     * @param event the event
     */
    public void handleEvent(I event) {
        List<O> outputs = new ArrayList<>();
        mDecider.onEvent(mLoop.nowNanos(), event, outputs::add);
        arm();
        outputs.forEach(mOutputs);
    }

    private void fire() {
        mTimerAtNanos = Decider.NO_TIMER;
        List<O> outputs = new ArrayList<>();
        mDecider.onTimer(mLoop.nowNanos(), outputs::add);
        arm();
        outputs.forEach(mOutputs);
    }

    private void arm() {
        long atNanos = mDecider.nextTimerNanos();
        if (atNanos == mTimerAtNanos) {
            return;
        }
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
        mTimerAtNanos = atNanos;
        if (atNanos != Decider.NO_TIMER) {
            mTimer = mLoop.scheduleAt(atNanos, this::fire);
        }
    }

    /** Looks at the decider's timer again after its state changed without an event. */
    public void rearmTimer() {
        arm();
    }

    /** Stops the timer. */
    public void stop() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }
}
