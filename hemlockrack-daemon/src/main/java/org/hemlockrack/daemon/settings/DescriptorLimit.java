package org.hemlockrack.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads how many descriptors this process may open. */
final class DescriptorLimit {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final Pattern LINE = Pattern.compile("Max open files\\s+(\\d{1,18})\\s.*");

    private DescriptorLimit() {}

    /** Returns the limit of the kernel, or the largest number if there is none or it is hidden. */
    static long read() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                Matcher matcher = LINE.matcher(line);
                if (matcher.matches()) {
                    return Long.parseLong(matcher.group(1));
                }
            }
        } catch (IOException e) {
            // Not every system tells it; the kernel enforces it all the same.
        }
        return Long.MAX_VALUE;
    }
}
