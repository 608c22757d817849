package org.hemlockrack.daemon.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class EventLoopTest {
    /**
     * Guards against reporting an error for a timer that a task sets while the event loop closes.
     */
    @Test
    void timerOfAClosedLoopIsDropped() {
        List<Throwable> errors = new CopyOnWriteArrayList<>();
        EventLoop loop = EventLoop.open("test", errors::add);
        loop.close();
        assertNull(loop.scheduleAt(loop.nowNanos(), () -> {}));
        assertEquals(List.of(), errors);
    }
}
