package org.hemlockrack.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Memory and descriptors of other processes, as the kernel counts them. */
public final class ProcessUsage {
    private ProcessUsage() {}

    /**
     * Returns the largest resident size of a process so far.
     *
     * @param pid process id
     * @return bytes
     * @throws IOException if the process has ended
     */
    public static long peakBytes(long pid) throws IOException {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/status"))) {
            String line = lines.filter(each -> each.startsWith("VmHWM:")).findFirst().orElseThrow();
            return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
        }
    }

    /**
     * Returns how many descriptors a process has open.
     *
     * @param pid process id
     * @return their number
     * @throws IOException if the process has ended
     */
    public static int descriptors(long pid) throws IOException {
        try (Stream<Path> files = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return (int) files.count();
        }
    }
}
