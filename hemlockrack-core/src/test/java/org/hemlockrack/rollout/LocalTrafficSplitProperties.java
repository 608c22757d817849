package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

class LocalTrafficSplitProperties {
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final ModelVersion OLD = ModelVersion.of("m", "1");
    private static final ModelVersion NEW = ModelVersion.of("m", "2");

    /** How the roll-out states are applied. */
    private enum Variant {
        CORRECT,
        /** Applies states in the order of arrival, ignoring their revisions. */
        IGNORES_REVISIONS,
        /** Loses the local stop with each newer state. */
        FORGETS_STOP
    }

    /**
     * Guards against traffic to the new version after a local stop, against a share above that of
     * the stage, and against late states that raise the share again.
     */
    @Example
    void sharesFollowNewestState() {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 1000; seed++) {
            run(seed, Variant.CORRECT, violations);
        }
        assertEquals(List.of(), violations);
    }

    /** Verifies the test above: it must fail for both broken variants (seeds 0 to 99). */
    @Example
    void brokenVariantsAreDetected() {
        for (Variant variant : List.of(Variant.IGNORES_REVISIONS, Variant.FORGETS_STOP)) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 100; seed++) {
                run(seed, variant, violations);
            }
            assertTrue(violations.size() >= 20, variant + " violations: " + violations.size());
        }
    }

    private static void run(long seed, Variant variant, List<String> violations) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Rollout> states = states(random);
        LocalTrafficSplit trafficSplit = LocalTrafficSplit.create();
        int stopStep = random.nextInt(60);
        boolean stopped = false;
        Rollout newest = states.get(0);
        trafficSplit.apply(List.of(newest));
        for (int step = 0; step < 30; step++) {
            Rollout next = states.get(random.nextInt(Math.min(states.size(), 2 + step / 3)));
            if (variant != Variant.CORRECT) {
                boolean forgetsState =
                        variant == Variant.IGNORES_REVISIONS || next.revision() > newest.revision();
                trafficSplit = forgetsState ? LocalTrafficSplit.create() : trafficSplit;
                if (variant == Variant.IGNORES_REVISIONS && stopped) {
                    trafficSplit.stop(next.id());
                }
            }
            trafficSplit.apply(List.of(next));
            newest = next.revision() > newest.revision() ? next : newest;
            if (step == stopStep) {
                trafficSplit.stop(newest.id());
                stopped = true;
            }
            double allowed = stopped ? 0 : newest.share();
            int toNew = 0;
            for (int chat = 0; chat < 400; chat++) {
                toNew +=
                        trafficSplit.chooseVersion(SERVICE, OLD, random.nextLong()).equals(NEW)
                                ? 1
                                : 0;
            }
            // Five standard deviations of 400 choices are at most 0.125.
            boolean isAbove = toNew > 400 * (allowed + (allowed > 0 ? 0.13 : 0));
            if (isAbove || trafficSplit.permittedShare(SERVICE, NEW) > allowed) {
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
            state = state.withStage(stage + 1, 0, stage);
            states.add(state);
        }
        if (random.nextInt(8) > 0) {
            states.add(state.withEnd(10, RolloutStatus.ROLLED_BACK, RolloutReason.ERRORS, ""));
        }
        return states;
    }

    /**
     * Guards against chats that switch between the versions more than once while the share rises.
     */
    @Example
    void chatsMoveOnceWhileShareRises() {
        SplittableRandom random = new SplittableRandom(1);
        List<Rollout> states = states(random).subList(0, Stages.count());
        for (int chat = 0; chat < 1000; chat++) {
            long hash = random.nextLong();
            LocalTrafficSplit trafficSplit = LocalTrafficSplit.create();
            boolean isMoved = false;
            for (Rollout state : states) {
                trafficSplit.apply(List.of(state));
                boolean isNew = trafficSplit.chooseVersion(SERVICE, OLD, hash).equals(NEW);
                assertTrue(isNew || !isMoved, "chat returned to the old version");
                isMoved = isNew;
            }
            trafficSplit.apply(
                    List.of(
                            states.get(Stages.last())
                                    .withEnd(9, RolloutStatus.COMPLETED, RolloutReason.NONE, "")));
            assertEquals(NEW, trafficSplit.chooseVersion(SERVICE, OLD, hash));
        }
    }
}
