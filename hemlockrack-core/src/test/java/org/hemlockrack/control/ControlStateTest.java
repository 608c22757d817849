package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.duties.Duty;
import org.hemlockrack.duties.DutyCommand;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.junit.jupiter.api.Test;

class ControlStateTest {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final BackendId SERVER = BackendId.of("i-1");

    private static byte[] document(long version) {
        return ("table " + version).getBytes(StandardCharsets.UTF_8);
    }

    private static TrafficMove moveTo(String target) {
        return new TrafficMove(SERVICE, target, MoveStatus.IN_PROGRESS, 70, 0, 12_000);
    }

    /** Guards against an older table that replaces a newer one, in any order of arrival. */
    @Property(tries = 200)
    void highestTableWins(@ForAll long seed) {
        Random random = new Random(seed);
        ControlState state = ControlState.create();
        long highest = 0;
        for (int index = 1; index <= 20; index++) {
            long version = 1 + random.nextInt(30);
            byte[] result =
                    state.apply(index, 0, ControlCommand.publishTable(version, document(version)));
            assertTrue(ControlState.isSuccess(result));
            highest = Math.max(highest, version);
            assertEquals(highest, state.tableVersion());
            assertArrayEquals(document(highest), state.tableDocument());
        }
    }

    /** Guards against other content under the version already in force. */
    @Test
    void tableOfSameVersionIsIgnored() {
        ControlState state = ControlState.create();
        state.apply(1, 0, ControlCommand.publishTable(3, document(3)));
        state.apply(2, 0, ControlCommand.publishTable(3, document(4)));
        assertArrayEquals(document(3), state.tableDocument());
    }

    /** Guards against a snapshot that omits a part of the state. */
    @Test
    void snapshotContainsWholeState() {
        ControlState state = ControlState.create();
        state.apply(1, 5, ControlCommand.publishTable(3, document(3)));
        state.apply(2, 5, ControlCommand.setZoneEvacuated(ZoneId.of("a"), true, 1));
        state.apply(3, 5, ControlCommand.recordDeparture(SERVER, 77));
        state.apply(4, 5, ControlCommand.startMove(moveTo("v2"), 3));
        ControlState other = ControlState.create();
        other.restore(state.snapshot());
        assertEquals(state.overrides(), other.overrides());
        assertEquals(state.revision(), other.revision());
        assertArrayEquals(document(3), other.tableDocument());
    }

    /** Guards against a server that gets requests after its departure was acknowledged. */
    @Test
    void departureHoldsForTheIncarnation() {
        ControlState state = ControlState.create();
        state.apply(1, 0, ControlCommand.recordDeparture(SERVER, 50));
        assertTrue(state.overrides().hasDeparted(SERVER, 50));
        assertTrue(state.overrides().hasDeparted(SERVER, 49));
        assertFalse(state.overrides().hasDeparted(SERVER, 51));
    }

    /** Guards against a retried command that restarts the move. */
    @Test
    void retriedMoveIsIgnored() {
        ControlState state = ControlState.create();
        state.apply(1, 1_000, ControlCommand.startMove(moveTo("v2"), 0));
        TrafficMove started = state.overrides().move(SERVICE);
        assertEquals(13_000, started.deadlineMillis());
        state.apply(2, 2_000, ControlCommand.finishMove(started.withStatus(MoveStatus.REVERTED)));
        state.apply(3, 3_000, ControlCommand.startMove(moveTo("v2"), 2));
        assertEquals(MoveStatus.REVERTED, state.overrides().move(SERVICE).status());
        state.apply(4, 4_000, ControlCommand.startMove(moveTo("v3"), 3));
        assertEquals(MoveStatus.IN_PROGRESS, state.overrides().move(SERVICE).status());
    }

    /** Guards against a delayed command of an earlier leader that reverts a finished move. */
    @Test
    void finishedMoveStays() {
        ControlState state = ControlState.create();
        state.apply(1, 1_000, ControlCommand.startMove(moveTo("v2"), 0));
        TrafficMove started = state.overrides().move(SERVICE);
        state.apply(2, 1_000, ControlCommand.finishMove(started.withStatus(MoveStatus.COMPLETED)));
        state.apply(3, 1_000, ControlCommand.finishMove(started.withStatus(MoveStatus.REVERTED)));
        state.apply(4, 1_000, ControlCommand.advanceMove(started.withShare(1_000)));
        assertEquals(MoveStatus.COMPLETED, state.overrides().move(SERVICE).status());
    }

    /** Guards against replicas that fail at a malformed command. */
    @Test
    void unreadableCommandIsRefused() {
        assertFalse(ControlState.isSuccess(ControlState.create().apply(1, 0, new byte[] {1, 2})));
    }

    /**
     * Guards against an order that a delayed process or a retry appends after a newer order about
     * the same zone was acknowledged, and that undoes it.
     */
    @Test
    void lateOrderDoesNotUndoANewerOne() {
        ControlState state = ControlState.create();
        ZoneId zone = ZoneId.of("a");
        state.apply(1, 0, ControlCommand.setZoneEvacuated(zone, true, 0));
        byte[] late = ControlCommand.setZoneEvacuated(zone, false, 1);
        assertTrue(ControlState.isSuccess(state.apply(2, 0, late)));
        state.apply(3, 0, ControlCommand.setZoneEvacuated(zone, true, 2));
        assertTrue(ControlState.isSuperseded(state.apply(4, 0, late)));
        assertTrue(state.overrides().evacuatedZones().contains(zone));
        assertTrue(
                ControlState.isSuccess(
                        state.apply(5, 0, ControlCommand.setZoneEvacuated(zone, false, 4))));
    }

    /** Guards against the same for a traffic move: the traffic would go to an old version. */
    @Test
    void lateMoveDoesNotReplaceANewerOne() {
        ControlState state = ControlState.create();
        byte[] late = ControlCommand.startMove(moveTo("v2"), 0);
        state.apply(1, 1_000, late);
        state.apply(2, 2_000, ControlCommand.startMove(moveTo("v3"), 1));
        assertTrue(ControlState.isSuperseded(state.apply(3, 3_000, late)));
        assertEquals("v3", state.overrides().move(SERVICE).target());
    }

    /**
     * Guards against late copies of orders in any history: an operator gives one order after the
     * other, each for a revision that is current when it is given, and every earlier order may be
     * appended again at any time, before or after a restart from a snapshot.
     */
    @Property(tries = 500)
    void newestAcknowledgedOrderHolds(@ForAll long seed) {
        Random random = new Random(seed);
        ControlState state = ControlState.create();
        ZoneId zone = ZoneId.of("a");
        List<byte[]> given = new ArrayList<>();
        boolean expected = false;
        for (long index = 1; index <= 40; index++) {
            if (!given.isEmpty() && random.nextBoolean()) {
                state.apply(index, 0, given.get(random.nextInt(given.size())));
            } else {
                expected = random.nextBoolean();
                byte[] order = ControlCommand.setZoneEvacuated(zone, expected, index - 1);
                given.add(order);
                assertTrue(ControlState.isSuccess(state.apply(index, 0, order)));
            }
            if (random.nextInt(5) == 0) {
                ControlState restored = ControlState.create();
                restored.restore(state.snapshot());
                state = restored;
            }
            assertEquals(expected, state.overrides().evacuatedZones().contains(zone));
        }
    }

    /**
     * Guards against a snapshot that loses tokens, against a snapshot of a version without duties
     * that cannot be read, and against a change of a duty that makes gateways fetch overrides.
     */
    @Test
    void dutiesAreReplicatedApartFromTheRevision() {
        ControlState state = ControlState.create();
        state.apply(1, 5, ControlCommand.publishTable(3, document(3)));
        byte[] withoutDuties = state.snapshot();
        byte[] take = ControlCommand.changeDuty(DutyCommand.take(Duty.METERING, "c", "p", 0));
        assertTrue(ControlState.isSuccess(state.apply(2, 5, take)));
        assertTrue(ControlState.isSuccess(state.apply(3, 5, take)));
        assertEquals(1, state.duties().token(Duty.METERING));
        assertEquals(1, state.revision());
        ControlState other = ControlState.create();
        other.restore(state.snapshot());
        assertEquals(state.duties(), other.duties());
        other.restore(withoutDuties);
        assertEquals(DutyState.EMPTY, other.duties());
        assertEquals(3, other.tableVersion());
    }
}
