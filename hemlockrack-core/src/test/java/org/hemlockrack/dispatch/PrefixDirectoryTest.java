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
import org.hemlockrack.wire.PrefixUseData;
import org.junit.jupiter.api.Test;

class PrefixDirectoryTest {
    private static final BackendId A = BackendId.of("a");
    private static final BackendId B = BackendId.of("b");

    /** Guards against control traffic for what everybody knows. */
    @Test
    void repeatedUseIsNoNews() {
        PrefixDirectory directory = PrefixDirectory.create();
        assertTrue(directory.recordUse(0, 1, A));
        assertFalse(directory.recordUse(TimeUnit.SECONDS.toNanos(39), 1, A));
        assertTrue(directory.recordUse(TimeUnit.SECONDS.toNanos(40), 1, A));
    }

    /** Guards against a server that is asked for what its memory lost long ago. */
    @Test
    void oldUsesAreForgotten() {
        PrefixDirectory directory = PrefixDirectory.create();
        directory.recordUse(0, 1, A);
        directory.recordUse(TimeUnit.SECONDS.toNanos(60), 1, B);
        assertEquals(List.of(A, B), directory.holders(TimeUnit.SECONDS.toNanos(61), 1));
        assertEquals(List.of(B), directory.holders(TimeUnit.SECONDS.toNanos(121), 1));
        directory.retainServers(Set.of(A));
        assertEquals(List.of(), directory.holders(TimeUnit.SECONDS.toNanos(121), 1));
    }

    /** Guards against a reader that fell behind and reads overwritten places. */
    @Test
    void ringDropsTheOldest() {
        PrefixUseLog uses = PrefixUseLog.of(3);
        for (int i = 0; i < 5; i++) {
            uses.add(new PrefixUseData(i, "a"));
        }
        assertEquals(
                List.of(2L, 3L, 4L),
                uses.readFrom(0, 9).uses().stream().map(PrefixUseData::getPrefixHash).toList());
        assertEquals(1, uses.readFrom(4, 9).uses().size());
        assertEquals(0, uses.readFrom(5, 9).uses().size());
        assertEquals(3, uses.readFrom(99, 9).uses().size());
    }

    /** Restart of a controller: guards against one long message to each of many gateways. */
    @Test
    void pagesAreBoundedAndComplete() {
        PrefixUseLog uses = PrefixUseLog.of(100);
        for (int i = 0; i < 150; i++) {
            uses.add(new PrefixUseData(i, "a"));
        }
        List<Long> read = new ArrayList<>();
        for (long position = 0; position < uses.endPosition(); ) {
            PrefixUseLog.Page page = uses.readFrom(position, 30);
            assertTrue(page.uses().size() <= 30);
            page.uses().forEach(use -> read.add(use.getPrefixHash()));
            position = page.next();
        }
        assertEquals(LongStream.range(50, 150).boxed().toList(), read);
    }
}
