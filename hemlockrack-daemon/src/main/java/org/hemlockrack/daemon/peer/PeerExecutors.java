package org.hemlockrack.daemon.peer;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The executors of connections to other instances. */
public final class PeerExecutors {
    /**
     * Maximum number of queued messages and calls. Excess ones are dropped, because newer messages
     * supersede them.
     */
    private static final int MAX_QUEUED_TASKS = 256;

    private static final long IDLE_SECONDS = 10;

    private PeerExecutors() {}

    /** Creates an executor with one thread, which drops tasks when its queue is full. */
    static ThreadPoolExecutor newSender(String name) {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        IDLE_SECONDS,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(MAX_QUEUED_TASKS),
                        newThreads(name),
                        new ThreadPoolExecutor.DiscardPolicy());
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }

    /** Creates the executor that waits for answers to probes, with as many threads as probes. */
    public static ExecutorService newAnswerExecutor() {
        return new ThreadPoolExecutor(
                0,
                Integer.MAX_VALUE,
                IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                newThreads("peer-answers-%d"),
                new ThreadPoolExecutor.DiscardPolicy());
    }

    private static ThreadFactory newThreads(String format) {
        return new ThreadFactoryBuilder()
                .setNameFormat(format)
                .setDaemon(true)
                // The pool replaces a thread that a task has ended.
                .setUncaughtExceptionHandler((ended, cause) -> cause.printStackTrace())
                .build();
    }
}
