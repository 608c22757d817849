package org.hemlockrack.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
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

    /** The model must notice an owner that counts only its own work. */
    @Example
    void ignoredForeignLoadIsCaught() {
        assertCaught(9, SETTINGS, "load", AdmissionProperties::withoutLoad);
    }

    /** The model must notice a limit that survives an emptied cache. */
    @Example
    void ignoredCacheClearIsCaught() {
        assertCaught(
                1,
                SETTINGS,
                "load",
                (now, event) -> event instanceof AdmissionEvent.CacheCleared ? null : event);
    }

    /** The model must notice a dispatch into a zone that is out. */
    @Example
    void ignoredZoneOutIsCaught() {
        assertCaught(
                0,
                SETTINGS,
                "drained",
                (now, event) -> event instanceof AdmissionEvent.ZoneOut ? null : event);
    }

    /** The model must notice a request that is lost. */
    @Example
    void lostArrivalIsCaught() {
        assertCaught(
                0,
                SETTINGS,
                "no decision",
                (now, event) ->
                        event instanceof AdmissionEvent.Arrived a && a.requestId().endsWith("7")
                                ? null
                                : event);
    }

    /** The model must notice an owner without a load bound. */
    @Example
    void ignoredMeanIsCaught() {
        assertCaught(5, SETTINGS.withLoadMultiple(100), "load", (now, event) -> event);
    }

    /** The model must notice queues above their bounds. */
    @Example
    void longQueuesAreCaught() {
        AdmissionSettings.Queue longer = new AdmissionSettings.Queue(100, 5);
        assertCaught(1, SETTINGS.withQueue(longer), "queue holds", (now, event) -> event);
        AdmissionSettings.Queue unfair = new AdmissionSettings.Queue(12, 12);
        assertCaught(1, SETTINGS.withQueue(unfair), "workspace", (now, event) -> event);
    }

    private static List<String> run(long seed, AdmissionSettings settings, Variant.Change change) {
        return new AdmissionHistory(seed, settings, change).run(300);
    }

    private static void assertCaught(
            long seed, AdmissionSettings settings, String text, Variant.Change change) {
        List<String> faults = run(seed, settings, change);
        assertTrue(faults.stream().anyMatch(f -> f.contains(text)), "not caught: " + faults);
    }

    private static AdmissionEvent withoutLoad(long now, AdmissionEvent event) {
        if (!(event instanceof Announced a)) {
            return event;
        }
        return new Announced(
                a.incarnation(),
                a.statedLimit(),
                0,
                a.state(),
                a.sequence(),
                a.previous(),
                a.echo());
    }
}
