package org.hemlockrack.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AnswerBufferTest {
    /** Guards against an endless answer of a backend server that exhausts the memory. */
    @Test
    void oversizedBodyIsDroppedAndReportedOnce() {
        AnswerBuffer buffer = AnswerBuffer.create();
        assertTrue(buffer.append(new byte[AnswerBuffer.MAX_BODY_BYTES]));
        assertEquals(AnswerBuffer.MAX_BODY_BYTES, buffer.body().length);
        assertFalse(buffer.append(new byte[1]));
        assertTrue(buffer.append(new byte[1]), "the excess was reported twice");
        assertEquals(0, buffer.body().length);
    }

    /** Guards against a recorded answer whose bytes are out of order. */
    @Test
    void bodyBytesStayInOrder() {
        AnswerBuffer buffer = AnswerBuffer.create();
        buffer.append(new byte[] {1, 2});
        buffer.append(new byte[] {3});
        assertArrayEquals(new byte[] {1, 2, 3}, buffer.body());
    }
}
