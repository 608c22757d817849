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

/** A single thread with a task queue, timers and a monotonic clock, for state confined to it. */
public final class EventLoop implements Executor, AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final ScheduledThreadPoolExecutor mExecutor;
    private final Consumer<Throwable> mErrorHandler;

    private EventLoop(ScheduledThreadPoolExecutor executor, Consumer<Throwable> errorHandler) {
        mExecutor = executor;
        mErrorHandler = errorHandler;
    }

    /**
     * Opens an event loop.
     *
     * @param name name of its thread
     * @param errorHandler receives what a task throws; the event loop continues
     * @return the event loop
     */
    public static EventLoop open(String name, Consumer<Throwable> errorHandler) {
        ScheduledThreadPoolExecutor executor =
                new ScheduledThreadPoolExecutor(
                        1, new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build());
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        return new EventLoop(executor, errorHandler);
    }

    /** Returns the monotonic time in nanoseconds. */
    public long nowNanos() {
        return System.nanoTime();
    }

    @Override
    public void execute(Runnable task) {
        try {
            mExecutor.execute(withErrorHandler(task));
        } catch (RejectedExecutionException ignored) {
            // The event loop is closed because the process is stopping; the task is not needed.
        }
    }

    /**
     * Runs a task on the event loop and returns its result asynchronously.
     *
     * @param task the task
     * @param <T> type of the result
     * @return completes with the result or with what the task threw
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, mExecutor);
    }

    /**
     * Schedules a task for a point in time.
     *
     * @param atNanos monotonic time at which the task runs; immediately if it has passed
     * @param task the task
     * @return the timer, or null if the event loop is closed
     */
    public @Nullable ScheduledFuture<?> scheduleAt(long atNanos, Runnable task) {
        long delayNanos = Math.max(0, atNanos - nowNanos());
        try {
            return mExecutor.schedule(withErrorHandler(task), delayNanos, TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException ignored) {
            // As in execute: a task that still runs while the event loop closes may set a timer.
            return null;
        }
    }

    /**
     * Runs a task periodically until the event loop is closed.
     *
     * @param delayMillis delay before the first run, and between the end of a run and the next one
     * @param task the task
     */
    public void scheduleWithFixedDelay(long delayMillis, Runnable task) {
        mExecutor.scheduleWithFixedDelay(
                withErrorHandler(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns the number of queued tasks, including timers. Safe for use from any thread. */
    public int queuedTaskCount() {
        return mExecutor.getQueue().size();
    }

    private Runnable withErrorHandler(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                mErrorHandler.accept(e);
            }
        };
    }

    @Override
    public void close() {
        mExecutor.shutdown();
        try {
            mExecutor.awaitTermination(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mExecutor.shutdownNow();
    }
}
