package org.hemlockrack.duties;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.duties.DutyHistory.Call;
import org.hemlockrack.duties.DutyHistory.Variant;
import org.junit.jupiter.api.Test;

class DutyHistoryProperties {
    /**
     * Guards against a window with two counts, a token with two holders, a holder that acts after
     * the next one, and turns A, B, A within a lease, under any sequence of faults.
     */
    @Property(tries = 300)
    void historiesKeepTheRules(@ForAll long seed) {
        List<Call> calls = DutyHistory.run(seed, Variant.CORRECT);
        assertFalse(DutyHistory.hasWindowWithTwoCounts(calls));
        assertFalse(DutyHistory.hasTokenOfTwoHolders(calls));
        assertFalse(DutyHistory.hasOutdatedHolder(calls));
        assertFalse(DutyHistory.alternatesWithinLease(calls));
    }

    /** Guards against histories that keep the rules because nobody or only one machine acts. */
    @Test
    void machinesTakeTurns() {
        assertTrue(
                isFound(Variant.CORRECT, calls -> DutyHistory.machines(calls).size() == 3),
                "no history has three holders");
    }

    /** Guards against checks that miss an implementation with one of the rules left out. */
    @Test
    void brokenVariantsAreFound() {
        assertTrue(isFound(Variant.IGNORES_WALL_CLOCK, DutyHistory::hasOutdatedHolder));
        assertTrue(isFound(Variant.DOES_NOT_WAIT, DutyHistory::hasOutdatedHolder));
        assertTrue(isFound(Variant.DOES_NOT_WAIT, DutyHistory::alternatesWithinLease));
        assertTrue(isFound(Variant.KEEPS_TOKEN_OF_MACHINE, DutyHistory::hasTokenOfTwoHolders));
        assertTrue(isFound(Variant.REPLACES_COUNTS, DutyHistory::hasWindowWithTwoCounts));
    }

    private static boolean isFound(Variant variant, Predicate<List<Call>> check) {
        for (long seed = 0; seed < 300; seed++) {
            if (check.test(DutyHistory.run(seed, variant))) {
                return true;
            }
        }
        return false;
    }
}
