package org.hemlockrack.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;

class CompositeStateTest {
    private final CommandListState mFirst = new CommandListState(new Oracle());
    private final CommandListState mSecond = new CommandListState(new Oracle());
    private final CompositeState mState =
            CompositeState.of(Map.of((byte) 1, mFirst, (byte) 2, mSecond));

    /** Guards against commands applied to the wrong state and snapshots that lack a state. */
    @Test
    void statesStaySeparateThroughASnapshot() {
        byte[] command = {0, 0, 0, 0, 0, 0, 0, 7};
        mState.apply(1, 0, CompositeState.encodeCommand((byte) 2, command));
        assertArrayEquals(new byte[0], mState.apply(2, 0, new byte[] {9}));
        byte[] snapshot = mState.snapshot();
        mSecond.mCommands.clear();
        mState.restore(snapshot);
        assertEquals(0, mFirst.mCommands.size());
        assertEquals(1, mSecond.mCommands.size());
        assertThrows(HemlockrackException.class, () -> mState.restore(new byte[] {0, 0, 0, 1}));
    }
}
