package org.hemlockrack.daemon.loop;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** A single thread that owns the state confined to it, with a monotonic clock and timers. */
public final class EventLoop implements Executor, AutoCloseable {
    private static final long CLOSE_WAIT_MILLIS = 2_000;

    private final ScheduledThreadPoolExecutor mExecutor;
    private final Consumer<Throwable> mOnFault;

    private EventLoop(ScheduledThreadPoolExecutor executor, Consumer<Throwable> onFault) {
        mExecutor = executor;
        mOnFault = onFault;
    }

    /**
     * Opens a loop.
     *
     * @param name name of its thread
     * @param onFault takes what a task throws; the loop goes on
     * @return the loop
     */
    public static EventLoop open(String name, Consumer<Throwable> onFault) {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(
                        1, new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return new EventLoop(executor, onFault);
    }

    /** Returns the monotonic time in nanoseconds. */
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        try {
            mExecutor.execute(guarded(task));
        } catch (RejectedExecutionException ignored) {
            // The loop is closed; the process is ending and nobody waits for the task.
        }
    }

    /**
     * Runs a task on the loop and passes on its result.
     *
     * @param task the task
     * @param <T> type of the result
     * @return completes with the result or with what the task threw
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, mExecutor);
    }

    /**
     * Runs a task at a time.
     *
     * @param atNanos monotonic time
     * @param task the task
     * @return the timer, or null if the loop is closed
     */
    public @Nullable ScheduledFuture<?> scheduleAt(long atNanos, Runnable task) {
        long delayNanos = Math.max(0, atNanos - nowNanos());
        try {
            return mExecutor.schedule(guarded(task), delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException ignored) {
            // As in execute: a task that still runs while the loop closes may set a timer.
            return null;
        }
    }

    /**
     * Runs a task again and again.
     *
     * @param periodMillis pause between two runs
     * @param task the task
     */
    public void scheduleWithFixedDelay(long periodMillis, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                guarded(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of tasks that wait, timers included. Safe for use from any thread. */
    public int queuedTaskCount() {
        return mExecutor.getQueue().size();
    }

    private Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                mOnFault.accept(e);
            }
        };
    }

    @Override
    public void close() {
        mExecutor.shutdown();
        try {
            mExecutor.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mExecutor.shutdownNow();
    }
}
