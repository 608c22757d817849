package org.hemlockrack.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.hemlockrack.wire.DutyCommandData;
import org.junit.jupiter.api.Test;

class DutyStateTest {
    private static UsageWindow window(long id, long count) {
        return new UsageWindow(id, Map.of("w", count));
    }

    /** Guards against other counts of a window that was dropped because many newer ones came. */
    @Test
    void droppedWindowIsNotAcceptedAgain() {
        DutyState state = DutyState.EMPTY;
        for (long id = 0; id < DutyState.MAX_WINDOWS + 2; id++) {
            state = state.withWindow(window(id, id)).withReported(id);
        }
        assertEquals(DutyState.MAX_WINDOWS, state.windows().size());
        assertEquals(state, state.withWindow(window(0, 5)));
        assertNull(state.window(0));
        assertFalse(state.isReported(0));
        assertEquals(DutyState.MAX_WINDOWS + 1, state.newestReported());
    }

    /** Guards against a window from a jump of the fleet time that drops all others. */
    @Test
    void windowFarInTheFutureDropsNoOther() {
        DutyState state = DutyState.EMPTY.withWindow(window(1L << 40, 1));
        state = state.withWindow(window(10, 1)).withWindow(window(11, 1));
        assertTrue(state.isOpen(12));
        assertEquals(3, state.windows().size());
    }

    /** Guards against a part of the state that the snapshot leaves out. */
    @Test
    void dataContainsWholeState() {
        DutyState state =
                DutyState.EMPTY
                        .withHolder(Duty.METERING, "c1", "p1", 0)
                        .withHolder(Duty.AUTOSCALING, "c2", "p2", 0)
                        .withHolder(Duty.METERING, "c2", "p2", 1)
                        .withWindow(window(3, 4))
                        .withWindow(window(4, 5))
                        .withReported(3);
        DutyState restored = DutyState.of(state.toData());
        assertEquals(state, restored);
        assertEquals(2, restored.token(Duty.METERING));
        assertEquals(window(4, 5), restored.window(4));
        assertEquals(DutyState.EMPTY, DutyState.of(null));
    }

    /** Guards against replicas that stop at a command which lacks fields. */
    @Test
    void incompleteCommandHasNoEffect() {
        assertEquals(DutyState.EMPTY, DutyState.EMPTY.after(new DutyCommandData()));
        DutyCommandData command = DutyCommand.take(Duty.METERING, "c1", "p1", 0);
        command.getHolder().unsetMachine();
        assertEquals(DutyState.EMPTY, DutyState.EMPTY.after(command));
    }
}
