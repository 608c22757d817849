package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TableFetchTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TableFetch mFetch = new TableFetch();

    /** Guards against fetching a long table from every controller when a large fleet starts. */
    @Test
    void oneControllerIsAsked() {
        mFetch.offer(0, "a", 7, true);
        mFetch.offer(1, "b", 7, true);
        assertTrue(mFetch.isRequestPending("a"));
        assertTrue(mFetch.tryRequest("a"));
        assertFalse(mFetch.isRequestPending("a"));
        assertFalse(mFetch.tryRequest("b"));
        mFetch.clear();
        assertFalse(mFetch.tryRequest("a"));
        assertEquals(0, mFetch.expectedVersion());
    }

    /** Guards against waiting for a controller that was lost or holds an older table. */
    @Test
    void silentOrOlderControllerIsReplaced() {
        mFetch.offer(0, "a", 7, true);
        mFetch.offer(SECOND - 1, "b", 7, true);
        assertFalse(mFetch.tryRequest("b"));
        mFetch.offer(SECOND, "b", 7, true);
        assertTrue(mFetch.tryRequest("b"));
        mFetch.offer(SECOND + 1, "c", 8, true);
        assertTrue(mFetch.tryRequest("c"));
        assertEquals(8, mFetch.expectedVersion());
    }

    /** Guards against fetching an uncommitted table repeatedly without ever adopting it. */
    @Test
    void uncommittedTableIsNotRequested() {
        mFetch.offer(0, "a", 9, false);
        assertFalse(mFetch.tryRequest("a"));
        mFetch.offer(0, "b", 8, true);
        assertTrue(mFetch.tryRequest("b"));
    }
}
