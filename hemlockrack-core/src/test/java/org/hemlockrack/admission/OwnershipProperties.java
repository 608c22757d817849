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
    private static final int SIMULATIONS = Integer.getInteger("hemlockrack.histories", 1_000);

    /** At most one owner with unbounded delays and pauses, when announcements have echoes. */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void atMostOneOwnerWithEcho(@ForAll long seed) {
        assertOneOwner(seed, true);
    }

    /** At most one owner when only a bound of the flight time is known. */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void atMostOneOwnerWithFlightBound(@ForAll long seed) {
        assertOneOwner(seed, false);
    }

    /** The simulation must include dispatches and changes of the owner to be meaningful. */
    @Example
    void simulationsChangeOwners() {
        int dispatched = 0;
        int takeovers = 0;
        for (long seed = 0; seed < SIMULATIONS; seed++) {
            OwnershipSimulation simulation =
                    new OwnershipSimulation(seed, true, (now, event) -> event);
            assertEquals(0, simulation.run(), "seed " + seed);
            dispatched += simulation.dispatched();
            takeovers += simulation.takeovers();
        }
        assertTrue(dispatched > SIMULATIONS / 2, "dispatched " + dispatched);
        assertTrue(takeovers > SIMULATIONS, "owner changes " + takeovers);
    }

    /** The checker must detect each broken variant, with a seed known to show it. */
    @Example
    void faultyVariantsAreDetected() {
        FaultyAdmission.EventChange none = (now, event) -> event;
        AdmissionSettings.Lease strict = OwnershipSimulation.lease(true, 1_000, GAP_NANOS);
        // Does not wait for the previous owner.
        assertDetected(0, true, strict, OwnershipProperties::withoutPrevious);
        // Measures the lease from the receipt of an announcement.
        assertDetected(0, true, strict, OwnershipProperties::withFreshEcho);
        // Lets a handover cover contacts after the sender's last announcement.
        assertDetected(8, true, strict, OwnershipProperties::withoutFloor);
        // Accepts announcements handled after it was paused.
        assertDetected(6, false, OwnershipSimulation.lease(false, 1_000, HOUR), none);
        // Assumes equal rates of the clocks.
        assertDetected(1334, true, OwnershipSimulation.lease(true, 0, GAP_NANOS), none);
        // Takes the lease while a paused process of the same instance still holds it.
        assertTrue(
                new OwnershipSimulation(REPLACED_SEED, true, strict, none)
                                .ignoreProcessStart()
                                .run()
                        > 0);
    }

    private static void assertOneOwner(long seed, boolean echo) {
        OwnershipSimulation simulation = new OwnershipSimulation(seed, echo, (now, event) -> event);
        assertEquals(0, simulation.run(), "two owners at once, seed " + seed);
        assertEquals(0, simulation.dispatchedWithoutLease(), "seed " + seed);
    }

    private static void assertDetected(
            long seed,
            boolean echo,
            AdmissionSettings.Lease lease,
            FaultyAdmission.EventChange change) {
        long violations = new OwnershipSimulation(seed, echo, lease, change).run();
        assertTrue(violations > 0, "the faulty variant was not detected with seed " + seed);
    }

    private static AdmissionEvent withoutPrevious(long now, AdmissionEvent event) {
        return event instanceof Announced a
                ? FaultyAdmission.copy(a, 0, PreviousOwner.none(HOUR), a.echo())
                : event;
    }

    private static AdmissionEvent withFreshEcho(long now, AdmissionEvent event) {
        if (!(event instanceof Announced a) || a.echo() == null) {
            return event;
        }
        LeaseEcho fresh = new LeaseEcho(a.echo().ownerEpoch(), now, 0);
        return FaultyAdmission.copy(a, 0, a.previous(), fresh);
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
