package org.hemlockrack.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CallerAnswerRecordTest {
    /** Guards against a backend server's endless answer that fills the memory. */
    @Test
    void bodyAboveTheBoundIsDroppedAndReportedOnce() {
        AnswerRecord record = AnswerRecord.create();
        assertTrue(record.append(new byte[AnswerRecord.MAX_BODY_BYTES]));
        assertEquals(AnswerRecord.MAX_BODY_BYTES, record.body().length);
        assertFalse(record.append(new byte[1]));
        assertTrue(record.append(new byte[1]), "the excess was reported twice");
        assertEquals(0, record.body().length);
    }

    /** Guards against a recorded answer whose bytes are out of order. */
    @Test
    void bodyKeepsItsOrder() {
        AnswerRecord record = AnswerRecord.create();
        record.append(new byte[] {1, 2});
        record.append(new byte[] {3});
        assertArrayEquals(new byte[] {1, 2, 3}, record.body());
    }
}
