package org.hemlockrack.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventCutterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nversions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    private static String feed(EventStreamFramer cutter, String text) {
        byte[] whole = cutter.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(whole, StandardCharsets.UTF_8);
    }

    /** Guards against a broken stream whose half event reaches the caller before it goes on. */
    @Test
    void holdsHalfEvent() {
        EventStreamFramer cutter = EventStreamFramer.create();
        assertEquals("id: 1\ndata: a\n\n", feed(cutter, "id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals("1", cutter.lastEventId());
        cutter.discardPartial();
        assertEquals("id: 2\ndata: b\n\n", feed(cutter, "id: 2\ndata: b\n\n"));
        assertEquals("2", cutter.lastEventId());
    }

    /** Guards against resuming after an event whose end has not arrived. */
    @Test
    void openEventHasNoId() {
        EventStreamFramer cutter = EventStreamFramer.create();
        feed(cutter, "id: 7\ndata: x\n");
        assertNull(cutter.lastEventId());
    }

    /** Guards against changed bytes, however the stream is split on its way. */
    @Property(tries = 200)
    void bytesAreUnchanged(
            @ForAll @IntRange(min = 0, max = 60) int first,
            @ForAll @IntRange(min = 0, max = 60) int second) {
        EventStreamFramer cutter = EventStreamFramer.create();
        int a = Math.min(Math.min(first, second), STREAM.length());
        int b = Math.min(Math.max(first, second), STREAM.length());
        String out =
                feed(cutter, STREAM.substring(0, a))
                        + feed(cutter, STREAM.substring(a, b))
                        + feed(cutter, STREAM.substring(b));
        assertEquals(STREAM, out);
        assertEquals("3", cutter.lastEventId());
        assertEquals(0, cutter.partialBytes());
    }
}
