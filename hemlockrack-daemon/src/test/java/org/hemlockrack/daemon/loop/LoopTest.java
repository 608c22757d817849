package org.hemlockrack.daemon.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class LoopTest {
    /** Guards against a fault logged for a timer that a task sets while the loop closes. */
    @Test
    void timerOfAClosedLoopIsDropped() {
        List<Throwable> faults = new CopyOnWriteArrayList<>();
        EventLoop loop = EventLoop.open("test", faults::add);
        loop.close();
        assertNull(loop.scheduleAt(loop.nowNanos(), () -> {}));
        assertEquals(List.of(), faults);
    }
}
