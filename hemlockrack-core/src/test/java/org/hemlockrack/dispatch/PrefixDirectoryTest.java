package org.hemlockrack.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.PrefixUseData;
import org.junit.jupiter.api.Test;

class PrefixDirectoryTest {
    private static final BackendId A = BackendId.of("a");
    private static final BackendId B = BackendId.of("b");

    /** A use that was reported recently must not cause control traffic again. */
    @Test
    void repeatedUseIsNotReportedAgain() {
        PrefixDirectory directory = PrefixDirectory.create();
        assertTrue(directory.recordUse(0, 1, A));
        assertFalse(directory.recordUse(TimeUnit.SECONDS.toNanos(39), 1, A));
        assertTrue(directory.recordUse(TimeUnit.SECONDS.toNanos(40), 1, A));
    }

    /** A server must not be preferred for a prefix that it has most likely evicted. */
    @Test
    void oldUsesExpire() {
        PrefixDirectory directory = PrefixDirectory.create();
        directory.recordUse(0, 1, A);
        directory.recordUse(TimeUnit.SECONDS.toNanos(60), 1, B);
        assertEquals(List.of(A, B), directory.holders(TimeUnit.SECONDS.toNanos(61), 1));
        assertEquals(List.of(B), directory.holders(TimeUnit.SECONDS.toNanos(121), 1));
        directory.retainServers(Set.of(A));
        assertEquals(List.of(), directory.holders(TimeUnit.SECONDS.toNanos(121), 1));
    }

    /** An explanation looks prefixes up; that must not keep them while used ones are evicted. */
    @Test
    void lookingUpAPrefixIsNoUse() {
        PrefixDirectory directory = PrefixDirectory.create();
        for (long prefix = 0; prefix < 20_000; prefix++) {
            directory.recordUse(0, prefix, A);
        }
        assertEquals(List.of(A), directory.holders(0, 0));
        directory.recordUse(0, 1, A);
        directory.recordUse(0, 20_000, A);
        assertEquals(List.of(), directory.holders(0, 0));
        assertEquals(List.of(A), directory.holders(0, 1));
    }

    /** A reader that fell behind must not read overwritten entries. */
    @Test
    void logDropsTheOldest() {
        PagedLog<PrefixUseData> uses = PagedLog.of(3);
        for (int i = 0; i < 5; i++) {
            uses.add(new PrefixUseData(i, "a"));
        }
        assertEquals(
                List.of(2L, 3L, 4L),
                uses.readFrom(0, 9).entries().stream().map(PrefixUseData::getPrefixHash).toList());
        assertEquals(1, uses.readFrom(4, 9).entries().size());
        assertEquals(0, uses.readFrom(5, 9).entries().size());
        assertEquals(3, uses.readFrom(99, 9).entries().size());
    }

    /**
     * After a controller restart many gateways read the log from its start; pages must bound each
     * message.
     */
    @Test
    void pagesAreBoundedAndComplete() {
        PagedLog<PrefixUseData> uses = PagedLog.of(100);
        for (int i = 0; i < 150; i++) {
            uses.add(new PrefixUseData(i, "a"));
        }
        List<Long> read = new ArrayList<>();
        for (long position = 0; position < uses.endPosition(); ) {
            PagedLog.Page<PrefixUseData> page = uses.readFrom(position, 30);
            assertTrue(page.entries().size() <= 30);
            page.entries().forEach(use -> read.add(use.getPrefixHash()));
            position = page.next();
        }
        assertEquals(LongStream.range(50, 150).boxed().toList(), read);
    }
}
