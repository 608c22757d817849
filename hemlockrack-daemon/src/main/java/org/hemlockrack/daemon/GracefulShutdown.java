package org.hemlockrack.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Waits for open requests during a graceful shutdown. */
public final class GracefulShutdown {
    private static final long POLL_MILLIS = 20;

    private GracefulShutdown() {}

    /**
     * Waits until no request is open or the deadline has passed. An interrupt does not end the
     * wait.
     *
     * @param openRequests returns the number of open requests
     * @param deadlineNanos deadline in monotonic time
     * @return number of requests that are still open
     */
    public static int awaitDrained(IntSupplier openRequests, long deadlineNanos) {
        int openCount = openRequests.getAsInt();
        while (openCount > 0 && System.nanoTime() - deadlineNanos < 0) {
            sleep(POLL_MILLIS);
            openCount = openRequests.getAsInt();
        }
        return openCount;
    }

    /**
     * Sleeps. An interrupt ends the sleep, and the interrupt status of the thread stays set.
     *
     * @param millis the time in milliseconds
     */
    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
