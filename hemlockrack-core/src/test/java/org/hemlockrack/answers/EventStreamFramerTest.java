package org.hemlockrack.answers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventStreamFramerTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nversions: 2\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

    private static String feed(EventStreamFramer framer, String text) {
        byte[] complete = framer.feed(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
        return new String(complete, StandardCharsets.UTF_8);
    }

    /** A partial event must not reach the caller before the stream is continued. */
    @Test
    void buffersPartialEvent() {
        EventStreamFramer framer = EventStreamFramer.create();
        assertEquals("id: 1\ndata: a\n\n", feed(framer, "id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals("1", framer.lastEventId());
        framer.discardPartial();
        assertEquals("id: 2\ndata: b\n\n", feed(framer, "id: 2\ndata: b\n\n"));
        assertEquals("2", framer.lastEventId());
    }

    /** A stream must not be resumed after an incomplete event. */
    @Test
    void partialEventHasNoId() {
        EventStreamFramer framer = EventStreamFramer.create();
        feed(framer, "id: 7\ndata: x\n");
        assertNull(framer.lastEventId());
    }

    /** Bytes must be unchanged however the stream is split. */
    @Property(tries = 200)
    void bytesAreUnchanged(
            @ForAll @IntRange(min = 0, max = 60) int first,
            @ForAll @IntRange(min = 0, max = 60) int second) {
        EventStreamFramer framer = EventStreamFramer.create();
        int a = Math.min(Math.min(first, second), STREAM.length());
        int b = Math.min(Math.max(first, second), STREAM.length());
        String out =
                feed(framer, STREAM.substring(0, a))
                        + feed(framer, STREAM.substring(a, b))
                        + feed(framer, STREAM.substring(b));
        assertEquals(STREAM, out);
        assertEquals("3", framer.lastEventId());
        assertEquals(0, framer.partialBytes());
    }
}
