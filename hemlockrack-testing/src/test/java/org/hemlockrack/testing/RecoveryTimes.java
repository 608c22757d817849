package org.hemlockrack.testing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Times from the start of a fault to the first successful request after it, by kind of fault. */
final class RecoveryTimes {
    private final Map<String, List<Long>> mMillisByKind = new TreeMap<>();

    synchronized void addSample(String kind, long millis) {
        mMillisByKind.computeIfAbsent(kind, key -> new ArrayList<>()).add(millis);
    }

    /** Prints the count, median and maximum of each kind, for docs/decisions/process-faults.md. */
    synchronized void print(String test) {
        mMillisByKind.forEach(
                (kind, all) -> {
                    Collections.sort(all);
                    System.out.printf(
                            "%s %s n=%d recover_ms p50=%d max=%d%n",
                            test,
                            kind,
                            all.size(),
                            all.get(all.size() / 2),
                            all.get(all.size() - 1));
                });
    }
}
