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
        AnswerBuffer record = AnswerBuffer.create();
        assertTrue(record.append(new byte[AnswerBuffer.MAX_BODY_BYTES]));
        assertEquals(AnswerBuffer.MAX_BODY_BYTES, record.body().length);
        assertFalse(record.append(new byte[1]));
        assertTrue(record.append(new byte[1]), "the excess was reported twice");
        assertEquals(0, record.body().length);
    }

    /** Guards against a recorded answer whose bytes are out of order. */
    @Test
    void bodyBytesStayInOrder() {
        AnswerBuffer record = AnswerBuffer.create();
        record.append(new byte[] {1, 2});
        record.append(new byte[] {3});
        assertArrayEquals(new byte[] {1, 2, 3}, record.body());
    }
}
