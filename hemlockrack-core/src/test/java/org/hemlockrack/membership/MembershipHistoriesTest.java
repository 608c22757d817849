package org.hemlockrack.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.hemlockrack.membership.internal.GossipRules;
import org.junit.jupiter.api.Test;

class MembershipHistoriesTest {
    /** Number of histories; a longer test run sets {@code -Dmembership.histories=100000}. */
    private static final long HISTORIES = Long.getLong("membership.histories", 1_000);

    private static final long FIRST_SEED = Long.getLong("membership.seed", 1);

    /** Guards against any violation of the invariants under random faults. */
    @Test
    void randomHistoriesViolateNothing() {
        Map<String, Integer> steps = new TreeMap<>();
        Map<String, Integer> faults = new TreeMap<>();
        List<String> violations = Collections.synchronizedList(new ArrayList<>());
        LongStream.range(FIRST_SEED, FIRST_SEED + HISTORIES)
                .parallel()
                .forEach(
                        seed -> {
                            FaultHistory history = FaultHistory.run(seed, GossipRules.standard());
                            synchronized (steps) {
                                history.mSteps.forEach((k, v) -> steps.merge(k, v, Integer::sum));
                                history.mSimulation.mFaults.forEach(
                                        (k, v) -> faults.merge(k, v, Integer::sum));
                            }
                            history.violations()
                                    .forEach(text -> violations.add("seed " + seed + " " + text));
                        });
        System.out.println("histories=" + HISTORIES + " steps=" + steps);
        System.out.println("faults=" + faults + " violations=" + violations.size());
        Collections.sort(violations);
        violations.stream().limit(100).forEach(System.out::println);
        assertEquals(0, violations.size());
    }
}
