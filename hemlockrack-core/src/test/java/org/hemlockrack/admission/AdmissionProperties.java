package org.hemlockrack.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hemlockrack.admission.AdmissionEvent.Announced;

class AdmissionProperties {
    private static final AdmissionSettings SETTINGS = AdmissionSimulation.settings();

    /**
     * One owner must not exceed the load bound, lose or repeat a decision, refuse a request as one
     * that may have run, dispatch without the lease or to a drained backend server, or exceed the
     * queue bounds.
     */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void modelHolds(@ForAll long seed) {
        assertEquals(List.of(), run(seed, SETTINGS, (now, event) -> event), "seed " + seed);
    }

    /** The simulation must dispatch enough requests for the property to be meaningful. */
    @Example
    void simulationsDispatchRequests() {
        int dispatched = 0;
        for (long seed = 0; seed < 100; seed++) {
            AdmissionSimulation simulation =
                    new AdmissionSimulation(seed, SETTINGS, (now, event) -> event);
            simulation.run(300);
            dispatched += simulation.dispatched();
        }
        assertTrue(dispatched > 1_000, "dispatched " + dispatched);
    }

    /** The model must detect each broken variant, with a seed known to show it. */
    @Example
    void faultyVariantsAreDetected() {
        assertDetected(
                9,
                "load",
                (now, event) ->
                        event instanceof Announced a
                                ? FaultyAdmission.copy(a, 0, a.previous(), a.echo())
                                : event);
        assertDetected(1, "load", without(event -> event instanceof AdmissionEvent.CacheCleared));
        assertDetected(
                0, "drained", without(event -> event instanceof AdmissionEvent.ZoneEvacuated));
        assertDetected(
                0,
                "no decision",
                without(e -> e instanceof AdmissionEvent.Arrived a && a.requestId().endsWith("7")));
    }

    /** The model must detect settings with wider limits than its own. */
    @Example
    void widerSettingsAreDetected() {
        AdmissionSettings.Ramp r = SETTINGS.ramp();
        AdmissionSettings.Ramp fast =
                new AdmissionSettings.Ramp(
                        1, 100_000_000L, 0, r.firstTokenTargetNanos(), 3.0, r.jumpMinimumNanos());
        assertDetected(1, "load", SETTINGS.withRamp(fast));
        assertDetected(5, "load", SETTINGS.withLoadMultiple(100));
        AdmissionSettings.Queue longer = new AdmissionSettings.Queue(100, 5);
        assertDetected(1, "queue holds", SETTINGS.withQueue(longer));
        AdmissionSettings.Queue unfair = new AdmissionSettings.Queue(12, 12);
        assertDetected(1, "workspace", SETTINGS.withQueue(unfair));
    }

    private static List<String> run(
            long seed, AdmissionSettings settings, FaultyAdmission.EventChange change) {
        return new AdmissionSimulation(seed, settings, change).run(300);
    }

    private static FaultyAdmission.EventChange without(Predicate<AdmissionEvent> hidden) {
        return (now, event) -> hidden.test(event) ? null : event;
    }

    private static void assertDetected(long seed, String text, FaultyAdmission.EventChange change) {
        assertViolation(text, run(seed, SETTINGS, change));
    }

    private static void assertDetected(long seed, String text, AdmissionSettings settings) {
        assertViolation(text, run(seed, settings, (now, event) -> event));
    }

    private static void assertViolation(String text, List<String> violations) {
        assertTrue(
                violations.stream().anyMatch(f -> f.contains(text)), "not detected: " + violations);
    }
}
