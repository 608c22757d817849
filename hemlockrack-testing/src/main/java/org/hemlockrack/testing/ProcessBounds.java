package org.hemlockrack.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a process must not exceed while clients send more than it can hold.
 *
 * @param memoryBytes largest peak of its resident size
 * @param descriptors most open descriptors
 */
public record ProcessBounds(long memoryBytes, int descriptors) {
    /** Code, class metadata, thread stacks, buffers of sockets and the collector's own tables. */
    private static final long NON_HEAP_BYTES = 160L << 20;

    /** Connections to servers and controllers, listening ports, files and class archives. */
    private static final int OTHER_DESCRIPTORS = 100;

    /**
     * Returns the bounds of a process.
     *
     * @param heapMib its maximum heap size in MiB
     * @param clients number of clients that it may serve
     * @return the bounds
     */
    public static ProcessBounds of(int heapMib, int clients) {
        return new ProcessBounds(
                ((long) heapMib << 20) + NON_HEAP_BYTES, clients + OTHER_DESCRIPTORS);
    }

    /**
     * Checks a process.
     *
     * @param process the process
     * @param log file of its output
     * @throws IOException if its usage cannot be read
     * @throws AssertionError if it has ended, has run out of memory or exceeds a bound
     */
    public void check(ProcessHandle process, Path log) throws IOException {
        checkAlive(process, log);
        long peakBytes = ProcessUsage.peakBytes(process.pid());
        int open = ProcessUsage.descriptors(process.pid());
        System.out.printf("peak memory %d MiB, %d descriptors%n", peakBytes >> 20, open);
        if (peakBytes > memoryBytes) {
            throw new AssertionError("peak memory " + peakBytes + ", bound " + memoryBytes);
        }
        if (open > descriptors) {
            throw new AssertionError("open descriptors " + open + ", bound " + descriptors);
        }
    }

    /**
     * Checks that a process runs and has not run out of memory.
     *
     * @param process the process
     * @param log file of its output
     * @throws IOException if the file cannot be read
     * @throws AssertionError if it has
     */
    public static void checkAlive(ProcessHandle process, Path log) throws IOException {
        String text = Files.readString(log);
        if (!process.isAlive() || text.contains("OutOfMemoryError")) {
            throw new AssertionError(
                    "the process has ended or has no memory: "
                            + text.substring(Math.max(0, text.length() - 2_000)));
        }
    }
}
