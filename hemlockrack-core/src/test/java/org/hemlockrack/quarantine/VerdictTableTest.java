package org.hemlockrack.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockrack.wire.VerdictData;
import org.junit.jupiter.api.Test;

class VerdictTableTest {
    private final VerdictTable mTable = VerdictTable.create();

    private static Verdict verdict(String part, long sequence, Verdict.Reason reason, long until) {
        return new Verdict(part, sequence, reason, 3, 1, 0, until);
    }

    /** Guards against instances that disagree forever, and against an order that is undone. */
    @Test
    void newestDecisionCountsAndALiftWinsATie() {
        assertTrue(mTable.merge(verdict("p", 1, Verdict.Reason.CRASHES, 100)));
        assertFalse(mTable.merge(verdict("p", 1, Verdict.Reason.CRASHES, 900)));
        assertTrue(mTable.merge(verdict("p", 1, Verdict.Reason.OPERATOR, 0)));
        assertFalse(mTable.merge(verdict("p", 1, Verdict.Reason.CRASHES, 100)));
        assertNull(mTable.inForce(50, List.of("p")));
        assertTrue(mTable.merge(verdict("p", 2, Verdict.Reason.CRASHES, 100)));
        assertNotNull(mTable.inForce(50, List.of("a", "p")));
        assertNull(mTable.inForce(100, List.of("p")));
    }

    /** Guards against decisions without bound; the ones that end last stay. */
    @Test
    void numberOfPartsIsBounded() {
        for (int i = 0; i < 2 * VerdictTable.MAX_PARTS; i++) {
            mTable.merge(verdict("p" + i, 1, Verdict.Reason.CRASHES, i));
        }
        assertEquals(VerdictTable.MAX_PARTS, mTable.all().size());
        assertNull(mTable.find("p0"));
    }

    /** Guards against a failure when a newer instance sends a reason that is unknown here. */
    @Test
    void unknownReasonIsIgnored() {
        assertNull(Verdict.of(new VerdictData("p", 1, "NEW_REASON", 3, 1, 0, 1_000), 0));
    }

    /** Guards against a part that is held back for ever by a wrong message. */
    @Test
    void remainingTimeIsBounded() {
        Verdict verdict =
                Verdict.of(new VerdictData("p", 1, "CRASHES", 3, 1, 0, Long.MAX_VALUE), 0);
        assertNotNull(verdict);
        assertEquals(Verdict.MAX_REMAINING_MILLIS, verdict.remainingMillis(0));
    }
}
