package org.hemlockrack.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hemlockrack.admission.AdmissionEvent.Announced;

class OwnershipProperties {
    private static final long HOUR = 3_600_000_000_000L;
    private static final int HISTORIES = Integer.getInteger("hemlockrack.histories", 1_000);

    /** Guards against two owners with unbounded delays and stops, when acknowledgements return. */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void atMostOneOwnerWithEcho(@ForAll long seed) {
        assertOneOwner(seed, true);
    }

    /** Guards against two owners when only the bound of the flight time is known. */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void atMostOneOwnerWithFlightBound(@ForAll long seed) {
        assertOneOwner(seed, false);
    }

    /** Guards against a right that is safe only because nobody ever holds it. */
    @Example
    void ownersAreFound() {
        int dispatched = 0;
        int takeovers = 0;
        for (long seed = 0; seed < HISTORIES; seed++) {
            OwnershipHistory history = new OwnershipHistory(seed, true, (now, event) -> event);
            assertEquals(0, history.run(), "seed " + seed);
            dispatched += history.dispatched();
            takeovers += history.takeovers();
        }
        assertTrue(dispatched > HISTORIES / 2, "dispatched " + dispatched);
        assertTrue(takeovers > HISTORIES, "takeovers " + takeovers);
    }

    /** The checker must notice an owner that does not wait for the previous one. */
    @Example
    void ignoredPreviousOwnerIsCaught() {
        assertCaught(0, (now, event) -> withPrevious(event, PreviousOwner.none(HOUR)));
    }

    /** The checker must notice a right measured from the receipt of an announcement. */
    @Example
    void rightFromReceiptIsCaught() {
        assertCaught(0, OwnershipProperties::withFreshEcho);
    }

    /** The checker must notice a handover that covers contacts its sender did not know of. */
    @Example
    void handoverWithoutFloorIsCaught() {
        assertCaught(4, OwnershipProperties::withoutFloor);
    }

    private static void assertOneOwner(long seed, boolean echo) {
        OwnershipHistory history = new OwnershipHistory(seed, echo, (now, event) -> event);
        assertEquals(0, history.run(), "two owners at once, seed " + seed);
        assertEquals(0, history.dispatchedWithoutRight(), "seed " + seed);
    }

    private static void assertCaught(long seed, Variant.Change change) {
        long violations = new OwnershipHistory(seed, true, change).run();
        assertTrue(violations > 0, "the broken variant was not caught with seed " + seed);
    }

    private static AdmissionEvent withPrevious(AdmissionEvent event, PreviousOwner previous) {
        return event instanceof Announced a ? copy(a, previous, a.echo()) : event;
    }

    private static AdmissionEvent withFreshEcho(long now, AdmissionEvent event) {
        if (!(event instanceof Announced a) || a.echo() == null) {
            return event;
        }
        return copy(a, a.previous(), new LeaseEcho(a.echo().ownerEpoch(), now, 0));
    }

    private static AdmissionEvent withoutFloor(long now, AdmissionEvent event) {
        if (!(event instanceof AdmissionEvent.HandoverReceived received)) {
            return event;
        }
        HandoverMessage m = received.message();
        return new AdmissionEvent.HandoverReceived(
                new HandoverMessage(
                        m.backend(),
                        m.from(),
                        m.to(),
                        m.incarnation(),
                        Long.MAX_VALUE,
                        m.inFlight(),
                        m.foreignLoad()));
    }

    private static Announced copy(Announced a, PreviousOwner previous, LeaseEcho echo) {
        return new Announced(
                a.incarnation(),
                a.statedLimit(),
                a.inFlight(),
                a.state(),
                a.sequence(),
                previous,
                echo);
    }
}
