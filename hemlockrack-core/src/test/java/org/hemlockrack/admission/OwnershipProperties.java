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
    private static final long REPLACED_SEED = 0;
    private static final long GAP_NANOS = 250_000_000L;
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

    /** The checker must notice each broken variant, with a seed that showed it. */
    @Example
    void brokenVariantsAreCaught() {
        Variant.Change none = (now, event) -> event;
        AdmissionSettings.Lease strict = OwnershipHistory.lease(true, 1_000, GAP_NANOS);
        // Does not wait for the previous owner.
        assertCaught(0, true, strict, OwnershipProperties::withoutPrevious);
        // Measures the right from the receipt of an announcement.
        assertCaught(0, true, strict, OwnershipProperties::withFreshEcho);
        // Lets a handover cover contacts that its sender did not know of.
        assertCaught(8, true, strict, OwnershipProperties::withoutFloor);
        // Trusts what it reads after it was stopped.
        assertCaught(6, false, OwnershipHistory.lease(false, 1_000, HOUR), none);
        // Makes no allowance for the rates of the clocks.
        assertCaught(1334, true, OwnershipHistory.lease(true, 0, GAP_NANOS), none);
        // Takes the right while a stopped process of the same instance still holds it.
        assertTrue(new OwnershipHistory(REPLACED_SEED, true, strict, none).forgetStart().run() > 0);
    }

    private static void assertOneOwner(long seed, boolean echo) {
        OwnershipHistory history = new OwnershipHistory(seed, echo, (now, event) -> event);
        assertEquals(0, history.run(), "two owners at once, seed " + seed);
        assertEquals(0, history.dispatchedWithoutRight(), "seed " + seed);
    }

    private static void assertCaught(
            long seed, boolean echo, AdmissionSettings.Lease lease, Variant.Change change) {
        long violations = new OwnershipHistory(seed, echo, lease, change).run();
        assertTrue(violations > 0, "the broken variant was not caught with seed " + seed);
    }

    private static AdmissionEvent withoutPrevious(long now, AdmissionEvent event) {
        return event instanceof Announced a
                ? Variant.copy(a, 0, PreviousOwner.none(HOUR), a.echo())
                : event;
    }

    private static AdmissionEvent withFreshEcho(long now, AdmissionEvent event) {
        if (!(event instanceof Announced a) || a.echo() == null) {
            return event;
        }
        LeaseEcho fresh = new LeaseEcho(a.echo().ownerEpoch(), now, 0);
        return Variant.copy(a, 0, a.previous(), fresh);
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
}
