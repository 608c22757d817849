package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class DurableTableVersionsTest {
    /** Guards against an older table that comes into force after all controllers were killed. */
    @Test
    void oneVoterIsNotEnough() {
        DurableTableVersions versions = DurableTableVersions.create();
        versions.recordReport("a", 7);
        assertFalse(versions.isNewestOfMajority(7, 3));
        versions.recordReport("b", 8);
        assertFalse(versions.isNewestOfMajority(7, 3));
        assertTrue(versions.isNewestOfMajority(8, 3));
    }

    /** Guards against two reports of one voter that count as a majority. */
    @Test
    void repeatedReportsCountOnce() {
        DurableTableVersions versions = DurableTableVersions.create();
        versions.recordReport("a", 7);
        versions.recordReport("a", 7);
        assertFalse(versions.isNewestOfMajority(7, 3));
        assertFalse(versions.isNewestOfMajority(7, 0));
    }
}
