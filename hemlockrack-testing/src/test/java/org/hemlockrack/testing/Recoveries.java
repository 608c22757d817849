package org.hemlockrack.testing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Times from the begin of a fault to the first success after it, by kind of fault. */
final class Recoveries {
    private final Map<String, List<Long>> mMillis = new TreeMap<>();

    synchronized void add(String kind, long millis) {
        mMillis.computeIfAbsent(kind, key -> new ArrayList<>()).add(millis);
    }

    /** Prints one line a kind, for docs/decisions/process-faults.md. */
    synchronized void print(String test) {
        mMillis.forEach(
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
