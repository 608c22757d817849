package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LogReportsTest {
    private static final int VOTERS = 3;

    private final LogReports mReports = LogReports.create();

    private void report(String voter, long requestedNanos, long... versions) {
        reportSettled(voter, 0, requestedNanos, versions);
    }

    private void reportSettled(
            String voter, long settledTerm, long requestedNanos, long... versions) {
        List<Long> listed = Arrays.stream(versions).boxed().toList();
        long newest = listed.get(listed.size() - 1);
        mReports.record(
                voter,
                new LogReports.Report(
                        newest,
                        0,
                        listed,
                        settledTerm,
                        newest,
                        VOTERS,
                        requestedNanos,
                        requestedNanos));
    }

    /** Guards against an older table that comes into force after all controllers were killed. */
    @Test
    void oneVoterIsNotEnough() {
        report("a", 10, 7);
        assertNull(mReports.confirmedNanos(7));
        assertEquals(0, mReports.newestOnMajority());
        report("b", 20, 7, 8);
        assertNull(mReports.confirmedNanos(7));
        assertEquals(10, mReports.confirmedNanos(8));
        assertEquals(7, mReports.newestOnMajority());
        assertEquals(Set.of(8L), mReports.newerThan(7));
    }

    /** Guards against two reports of one voter that count as a majority. */
    @Test
    void repeatedReportsCountOnce() {
        report("a", 10, 7);
        report("a", 20, 7);
        assertNull(mReports.confirmedNanos(7));
        assertNull(mReports.requestedNanos());
    }

    /** Guards against an old report of one voter that passes for a new one of a majority. */
    @Test
    void confirmationIsAsOldAsTheOldestReportItNeeds() {
        report("a", 10, 7);
        report("b", 20, 7);
        report("c", 30, 7);
        assertEquals(20, mReports.confirmedNanos(7));
        report("c", 40, 8);
        assertEquals(10, mReports.confirmedNanos(7));
    }

    /** Guards against reports of instances that are no voters any more. */
    @Test
    void droppedReportsDoNotCount() {
        report("a", 10, 7);
        report("b", 20, 7);
        mReports.forget("a");
        assertNull(mReports.confirmedNanos(7));
        report("a", 10, 7);
        mReports.retain(Set.of("b"));
        assertNull(mReports.confirmedNanos(7));
    }

    /** Guards against a list that is taken for complete although it leaves out older tables. */
    @Test
    void listMustReachDownToTheTableInForce() {
        report("a", 10, 7, 8);
        mReports.record("b", new LogReports.Report(8, 7, List.of(8L), 0, 0, VOTERS, 20, 20));
        assertTrue(mReports.isListedAbove(7));
        assertFalse(mReports.isListedAbove(6));
    }

    /** Guards against times that are compared by their values, which may overflow. */
    @Test
    void timesMayOverflow() {
        report("a", Long.MAX_VALUE, 7);
        report("b", Long.MIN_VALUE + 10, 7);
        assertEquals(Long.MAX_VALUE, mReports.confirmedNanos(7));
    }

    /** Guards against a table in force that a later leader may lack. */
    @Test
    void onlyTablesOfOneTermAreSettled() {
        reportSettled("a", 3, 10, 7, 8);
        assertEquals(0, mReports.newestSettled());
        reportSettled("b", 4, 20, 7, 8);
        assertEquals(0, mReports.newestSettled(), "the voter of term 4 may follow another leader");
        reportSettled("b", 0, 20, 7, 8);
        assertEquals(0, mReports.newestSettled(), "the voter may have voted for another leader");
        reportSettled("b", 3, 20, 7);
        assertEquals(7, mReports.newestSettled());
        assertEquals(7, mReports.newestSettledRevision());
        reportSettled("c", 3, 20, 7, 8, 9);
        assertEquals(8, mReports.newestSettled());
    }
}
