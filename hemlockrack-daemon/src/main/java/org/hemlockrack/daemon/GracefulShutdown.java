package org.hemlockrack.daemon;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Waits for the work that is open when a process stops. */
public final class GracefulShutdown {
    private static final long POLL_MILLIS = 20;

    private GracefulShutdown() {}

    /**
     * Waits until nothing is open, at most until a time.
     *
     * @param open counts what is open
     * @param endNanos monotonic time at which the wait ends
     * @return what is still open
     */
    public static int awaitDrained(IntSupplier open, long endNanos) {
        int left = open.getAsInt();
        while (left > 0 && System.nanoTime() - endNanos < 0) {
            sleep(POLL_MILLIS);
            left = open.getAsInt();
        }
        return left;
    }

    /**
     * Waits; an interrupt ends the wait and stays set.
     *
     * @param millis how long
     */
    public static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
