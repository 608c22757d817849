package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.hemlockrack.rollout.RolloutWorld.Behaviour;
import org.hemlockrack.rollout.RolloutWorld.Variant;

class RolloutControllerProperties {
    /**
     * Guards against good versions that miss their deadline and bad ones that survive, under churn,
     * leader changes, lost proposals and restarts from snapshots; and against orders of a deposed
     * controller that take effect, a share above the stage and too many loads at a time.
     */
    @Example
    void goodVersionsCompleteAndBadOnesRollBack() {
        for (Behaviour behaviour : Behaviour.values()) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 40; seed++) {
                violations.addAll(run(seed, Variant.CORRECT, behaviour));
            }
            assertEquals(List.of(), violations, behaviour.toString());
        }
    }

    /** Checks the checker: each missing mechanism must be caught (seeds 0 to 59). */
    @Example
    void missingMechanismsAreCaught() {
        assertTrue(caught(Variant.REPORTS_LOST, Behaviour.FAILS) >= 50);
        assertTrue(caught(Variant.NO_FENCING, Behaviour.GOOD) >= 3);
        assertTrue(caught(Variant.LOADS_UNBOUNDED, Behaviour.GOOD) >= 20);
    }

    private static int caught(Variant variant, Behaviour behaviour) {
        int caught = 0;
        for (long seed = 0; seed < 60; seed++) {
            caught += run(seed, variant, behaviour).isEmpty() ? 0 : 1;
        }
        System.out.println("rollout world " + variant + " caught=" + caught + " of 60");
        return caught;
    }

    private static List<String> run(long seed, Variant variant, Behaviour behaviour) {
        RolloutWorld world = new RolloutWorld(seed, variant, behaviour);
        Rollout end = world.run();
        List<String> violations = new ArrayList<>(world.mViolations);
        RolloutStatus expected =
                behaviour == Behaviour.GOOD ? RolloutStatus.COMPLETED : RolloutStatus.ROLLED_BACK;
        boolean fault = behaviour == Behaviour.GOOD || end.reason().fault();
        if (end.status() != expected || !fault) {
            violations.add(end.status() + " " + end.reason() + " " + end.detail());
        }
        violations.replaceAll(text -> "seed " + seed + ": " + text);
        return violations.subList(0, Math.min(3, violations.size()));
    }
}
