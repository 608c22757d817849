package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.hemlockrack.rollout.RolloutSimulation.Behaviour;
import org.hemlockrack.rollout.RolloutSimulation.Variant;

class RolloutControllerProperties {
    /**
     * Guards against good versions that miss their deadline and faulty ones that are not rolled
     * back, with servers that leave and return, leader changes, lost proposals and restarts from
     * snapshots. Also guards against orders of a deposed controller that take effect, a share above
     * that of the stage, and too many loads at a time.
     */
    @Example
    void goodVersionsCompleteAndFaultyOnesRollBack() {
        for (Behaviour behaviour : Behaviour.values()) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 40; seed++) {
                violations.addAll(run(seed, Variant.CORRECT, behaviour));
            }
            assertEquals(List.of(), violations, behaviour.toString());
        }
    }

    /** Verifies the test above: it must fail if a mechanism is disabled (seeds 0 to 59). */
    @Example
    void disabledMechanismsAreDetected() {
        assertTrue(countDetected(Variant.REPORTS_LOST, Behaviour.FAILS) >= 50);
        assertTrue(countDetected(Variant.NO_FENCING, Behaviour.GOOD) >= 3);
        assertTrue(countDetected(Variant.LOADS_UNBOUNDED, Behaviour.GOOD) >= 20);
    }

    private static int countDetected(Variant variant, Behaviour behaviour) {
        int detected = 0;
        for (long seed = 0; seed < 60; seed++) {
            detected += run(seed, variant, behaviour).isEmpty() ? 0 : 1;
        }
        System.out.println("rollout simulation " + variant + " detected=" + detected + " of 60");
        return detected;
    }

    private static List<String> run(long seed, Variant variant, Behaviour behaviour) {
        RolloutSimulation simulation = new RolloutSimulation(seed, variant, behaviour);
        Rollout end = simulation.run();
        List<String> violations = new ArrayList<>(simulation.mViolations);
        RolloutStatus expected =
                behaviour == Behaviour.GOOD ? RolloutStatus.COMPLETED : RolloutStatus.ROLLED_BACK;
        boolean isReasonExpected = behaviour == Behaviour.GOOD || end.reason().isFault();
        if (end.status() != expected || !isReasonExpected) {
            violations.add(end.status() + " " + end.reason() + " " + end.detail());
        }
        violations.replaceAll(text -> "seed " + seed + ": " + text);
        return violations.subList(0, Math.min(3, violations.size()));
    }
}
