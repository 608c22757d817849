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
    private static final AdmissionSettings SETTINGS = AdmissionHistory.settings();

    /**
     * Guards R1, R2, R3, R6 and R8 at one owner: load above the bound, lost or doubled decisions, a
     * refused request that runs, work for a drained backend server, and an unbounded queue.
     */
    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void modelHolds(@ForAll long seed) {
        assertEquals(List.of(), run(seed, SETTINGS, (now, event) -> event), "seed " + seed);
    }

    /** Guards against a model that holds because nothing is dispatched. */
    @Example
    void histories() {
        int dispatched = 0;
        for (long seed = 0; seed < 100; seed++) {
            AdmissionHistory history = new AdmissionHistory(seed, SETTINGS, (now, event) -> event);
            history.run(300);
            dispatched += history.dispatched();
        }
        assertTrue(dispatched > 1_000, "dispatched " + dispatched);
    }

    /** The model must notice each broken variant, with a seed that showed it. */
    @Example
    void brokenVariantsAreCaught() {
        assertCaught(
                9,
                "load",
                (now, event) ->
                        event instanceof Announced a
                                ? Variant.copy(a, 0, a.previous(), a.echo())
                                : event);
        assertCaught(1, "load", without(event -> event instanceof AdmissionEvent.CacheCleared));
        assertCaught(0, "drained", without(event -> event instanceof AdmissionEvent.ZoneEvacuated));
        assertCaught(
                0,
                "no decision",
                without(e -> e instanceof AdmissionEvent.Arrived a && a.requestId().endsWith("7")));
    }

    /** The model must notice settings that allow more than it does. */
    @Example
    void widerSettingsAreCaught() {
        AdmissionSettings.Ramp r = SETTINGS.ramp();
        AdmissionSettings.Ramp fast =
                new AdmissionSettings.Ramp(
                        1, 100_000_000L, 0, r.firstTokenTargetNanos(), 3.0, r.jumpMinimumNanos());
        assertCaught(1, "load", SETTINGS.withRamp(fast));
        assertCaught(5, "load", SETTINGS.withLoadMultiple(100));
        AdmissionSettings.Queue longer = new AdmissionSettings.Queue(100, 5);
        assertCaught(1, "queue holds", SETTINGS.withQueue(longer));
        AdmissionSettings.Queue unfair = new AdmissionSettings.Queue(12, 12);
        assertCaught(1, "workspace", SETTINGS.withQueue(unfair));
    }

    private static List<String> run(long seed, AdmissionSettings settings, Variant.Change change) {
        return new AdmissionHistory(seed, settings, change).run(300);
    }

    private static Variant.Change without(Predicate<AdmissionEvent> hidden) {
        return (now, event) -> hidden.test(event) ? null : event;
    }

    private static void assertCaught(long seed, String text, Variant.Change change) {
        assertFault(text, run(seed, SETTINGS, change));
    }

    private static void assertCaught(long seed, String text, AdmissionSettings settings) {
        assertFault(text, run(seed, settings, (now, event) -> event));
    }

    private static void assertFault(String text, List<String> faults) {
        assertTrue(faults.stream().anyMatch(f -> f.contains(text)), "not caught: " + faults);
    }
}
