package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

class LocalGateProperties {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ModelVersion OLD = ModelVersion.of("m", "1");
    private static final ModelVersion NEW = ModelVersion.of("m", "2");

    /** How states reach the gate. */
    private enum Variant {
        CORRECT,
        /** Takes states in the order of arrival, as a gate without revisions would. */
        ANY_ORDER,
        /** Forgets the local stop with each new state. */
        FORGETS_STOP
    }

    /**
     * Guards against traffic to the new version after a local stop, against a share above the
     * stage, and against states that arrive late and raise the share again.
     */
    @Example
    void sharesFollowNewestState() {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 1000; seed++) {
            run(seed, Variant.CORRECT, violations);
        }
        assertEquals(List.of(), violations);
    }

    /** Checks the checker: both broken gates must be caught (seeds 0 to 99). */
    @Example
    void brokenGatesAreCaught() {
        for (Variant variant : List.of(Variant.ANY_ORDER, Variant.FORGETS_STOP)) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 100; seed++) {
                run(seed, variant, violations);
            }
            assertTrue(violations.size() >= 20, variant + " caught " + violations.size());
        }
    }

    private static void run(long seed, Variant variant, List<String> violations) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Rollout> states = states(random);
        LocalTrafficSplit gate = LocalTrafficSplit.create();
        int stopStep = random.nextInt(60);
        boolean stopped = false;
        Rollout newest = states.get(0);
        gate.apply(List.of(newest));
        for (int step = 0; step < 30; step++) {
            Rollout next = states.get(random.nextInt(Math.min(states.size(), 2 + step / 3)));
            if (variant != Variant.CORRECT) {
                boolean forget =
                        variant == Variant.ANY_ORDER || next.revision() > newest.revision();
                gate = forget ? LocalTrafficSplit.create() : gate;
                if (variant == Variant.ANY_ORDER && stopped) {
                    gate.stop(next.id());
                }
            }
            gate.apply(List.of(next));
            newest = next.revision() > newest.revision() ? next : newest;
            if (step == stopStep) {
                gate.stop(newest.id());
                stopped = true;
            }
            double allowed = stopped ? 0 : newest.share();
            int toNew = 0;
            for (int chat = 0; chat < 400; chat++) {
                toNew += gate.chooseVersion(SERVICE, OLD, random.nextLong()).equals(NEW) ? 1 : 0;
            }
            // Five standard deviations of 400 choices are at most 0.125.
            boolean above = toNew > 400 * (allowed + (allowed > 0 ? 0.13 : 0));
            if (above || gate.permittedShare(SERVICE, NEW) > allowed) {
                violations.add("seed " + seed + " step " + step + ": share above " + allowed);
                return;
            }
        }
    }

    private static List<Rollout> states(SplittableRandom random) {
        List<Rollout> states = new ArrayList<>();
        Rollout state =
                new Rollout(
                        1,
                        1,
                        SERVICE,
                        OLD,
                        NEW,
                        1_000_000,
                        0.05,
                        false,
                        "op",
                        0,
                        0,
                        0,
                        RolloutStatus.RUNNING,
                        RolloutReason.NONE,
                        "");
        states.add(state);
        for (int stage = 1; stage <= Stages.last(); stage++) {
            state = state.atStage(stage + 1, 0, stage);
            states.add(state);
        }
        if (random.nextInt(8) > 0) {
            states.add(state.ended(10, RolloutStatus.ROLLED_BACK, RolloutReason.ERRORS, ""));
        }
        return states;
    }

    /** Guards against a chat that changes versions back and forth while the share rises. */
    @Example
    void chatsMoveOnceWhileShareRises() {
        SplittableRandom random = new SplittableRandom(1);
        List<Rollout> states = states(random).subList(0, Stages.count());
        for (int chat = 0; chat < 1000; chat++) {
            long hash = random.nextLong();
            LocalTrafficSplit gate = LocalTrafficSplit.create();
            boolean moved = false;
            for (Rollout state : states) {
                gate.apply(List.of(state));
                boolean isNew = gate.chooseVersion(SERVICE, OLD, hash).equals(NEW);
                assertTrue(isNew || !moved, "chat went back");
                moved = isNew;
            }
            gate.apply(
                    List.of(
                            states.get(Stages.last())
                                    .ended(9, RolloutStatus.COMPLETED, RolloutReason.NONE, "")));
            assertEquals(NEW, gate.chooseVersion(SERVICE, OLD, hash));
        }
    }
}
