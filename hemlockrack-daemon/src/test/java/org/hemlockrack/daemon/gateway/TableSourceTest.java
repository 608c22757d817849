package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TableSourceTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TableSource mSource = new TableSource();

    /** Start of a large fleet: guards against a long table from every controller. */
    @Test
    void oneControllerIsAsked() {
        mSource.offer(0, "a", 7, true);
        mSource.offer(1, "b", 7, true);
        assertTrue(mSource.isNew("a"));
        assertTrue(mSource.ask("a"));
        assertFalse(mSource.isNew("a"));
        assertFalse(mSource.ask("b"));
        mSource.clear();
        assertFalse(mSource.ask("a"));
        assertEquals(0, mSource.version());
    }

    /** Guards against a gateway that waits for a controller that was lost, or is behind. */
    @Test
    void silentOrOlderControllerIsReplaced() {
        mSource.offer(0, "a", 7, true);
        mSource.offer(SECOND - 1, "b", 7, true);
        assertFalse(mSource.ask("b"));
        mSource.offer(SECOND, "b", 7, true);
        assertTrue(mSource.ask("b"));
        mSource.offer(SECOND + 1, "c", 8, true);
        assertTrue(mSource.ask("c"));
        assertEquals(8, mSource.version());
    }

    /** Guards against a table that is fetched again and again but never taken over. */
    @Test
    void tableThatMayNotBeCommittedIsNotAskedFor() {
        mSource.offer(0, "a", 9, false);
        assertFalse(mSource.ask("a"));
        mSource.offer(0, "b", 8, true);
        assertTrue(mSource.ask("b"));
    }
}
