package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiFunction;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;

class RolloutStateProperties {
    private static final ServiceId SERVICE = ServiceId.of("s");

    /** Expected state of a running roll-out. */
    private static final class Running {
        private final long mId;
        private int mStage;
        private long mSequence;

        private Running(long id) {
            mId = id;
        }
    }

    /**
     * Reference model: the running roll-outs by model name, the authority number, and the first
     * outcome of each request id.
     */
    private static final class Oracle {
        private final Map<String, Running> mRunning = new TreeMap<>();
        private final Map<String, RolloutOutcome> mFirstOutcomes = new HashMap<>();
        private long mAuthority;
    }

    /**
     * Guards against two running roll-outs of one model, a retry that takes effect twice, a
     * controller that acts under an old authority number, and a snapshot that loses this state.
     */
    @Example
    void historiesAgreeWithOracle() {
        List<String> violations = new ArrayList<>();
        Map<RolloutOutcome, Integer> outcomes = new TreeMap<>();
        for (long seed = 0; seed < 1000; seed++) {
            run(seed, (state, command) -> command, violations, outcomes);
        }
        System.out.println("rollout histories=1000 " + outcomes);
        assertEquals(List.of(), violations);
    }

    /** Verifies the test above: it must fail if retries use new request ids (first seed 0). */
    @Example
    void changedRequestIdsAreDetected() {
        int[] unique = new int[1];
        assertDetected(
                (state, command) ->
                        command instanceof RolloutCommand.Start start
                                ? new RolloutCommand.Start(
                                        start.requestId() + "-" + unique[0]++,
                                        start.author(),
                                        start.service(),
                                        start.from(),
                                        start.to(),
                                        start.deadlineMillis(),
                                        start.firstShare(),
                                        start.completeUnjudged())
                                : command);
    }

    /**
     * Verifies the test above: it must fail if the state accepts any authority number (first seed
     * 0).
     */
    @Example
    void ignoredAuthorityIsDetected() {
        assertDetected(
                (state, command) ->
                        command instanceof RolloutCommand.Advance advance
                                ? new RolloutCommand.Advance(
                                        advance.requestId(),
                                        state.authority(),
                                        advance.rolloutId(),
                                        advance.stage())
                                : command);
    }

    private static void assertDetected(
            BiFunction<RolloutState, RolloutCommand, RolloutCommand> variant) {
        List<String> violations = new ArrayList<>();
        for (long seed = 0; seed < 20; seed++) {
            run(seed, variant, violations, new TreeMap<>());
        }
        assertTrue(violations.size() >= 15, "violations: " + violations.size());
    }

    private static void run(
            long seed,
            BiFunction<RolloutState, RolloutCommand, RolloutCommand> variant,
            List<String> violations,
            Map<RolloutOutcome, Integer> outcomes) {
        SplittableRandom random = new SplittableRandom(seed);
        RolloutState state = RolloutState.create();
        Oracle oracle = new Oracle();
        List<RolloutCommand> sent = new ArrayList<>();
        for (int step = 1; step <= 120; step++) {
            if (random.nextInt(10) == 0) {
                byte[] snapshot = state.snapshot();
                state = RolloutState.create();
                state.restore(snapshot);
                if (!Arrays.equals(snapshot, state.snapshot())) {
                    violations.add("seed " + seed + " step " + step + ": snapshot changed");
                    return;
                }
            }
            boolean resend = !sent.isEmpty() && random.nextInt(4) == 0;
            RolloutCommand command =
                    resend
                            ? sent.get(random.nextInt(sent.size()))
                            : randomCommand(random, step, oracle);
            sent.add(command);
            byte[] bytes = variant.apply(state, command).encode();
            RolloutResult result = RolloutResult.decode(state.apply(step, step * 100L, bytes));
            RolloutOutcome expected = expectedOutcome(oracle, step, command);
            outcomes.merge(result.outcome(), 1, Integer::sum);
            if (result.outcome() != expected || !matchesOracle(state, oracle)) {
                violations.add("seed " + seed + " step " + step + ": " + result + command);
                return;
            }
        }
    }

    private static RolloutCommand randomCommand(SplittableRandom random, int step, Oracle oracle) {
        String id = "r" + step;
        String model = "m" + random.nextInt(2);
        Running running = oracle.mRunning.get(model);
        long rollout = running == null ? random.nextInt(step) : running.mId;
        int stage = running == null ? 0 : Math.max(0, running.mStage - random.nextInt(2));
        long authority = Math.max(0, oracle.mAuthority - random.nextInt(2));
        return switch (random.nextInt(9)) {
            case 0, 1 ->
                    new RolloutCommand.Start(
                            id,
                            "op",
                            SERVICE,
                            ModelVersion.of(model, "1"),
                            ModelVersion.of(model, "2"),
                            random.nextInt(5) == 0 ? 1 : 1_000_000,
                            0.05,
                            false);
            case 2, 3 -> new RolloutCommand.Advance(id, authority, rollout, stage);
            case 4 ->
                    new RolloutCommand.RollBack(id, authority, rollout, RolloutReason.SLOW, "slow");
            case 5 -> new RolloutCommand.Stop(id, "op", SERVICE, model, "");
            case 6 -> new RolloutCommand.Complete(id, authority, rollout);
            case 7 -> new RolloutCommand.AcquireAuthority(id, "a");
            default -> new RolloutCommand.ReportEvidence(report(rollout, 0, 1 + step));
        };
    }

    private static RolloutOutcome expectedOutcome(Oracle oracle, int step, RolloutCommand command) {
        if (command instanceof RolloutCommand.ReportEvidence evidence) {
            return expectedReportOutcome(oracle, evidence.report());
        }
        RolloutOutcome first = oracle.mFirstOutcomes.get(command.requestId());
        if (first == null) {
            first = expectedFirstOutcome(oracle, step, command);
            oracle.mFirstOutcomes.put(command.requestId(), first);
        }
        return first;
    }

    private static RolloutOutcome expectedReportOutcome(Oracle oracle, EvidenceReport report) {
        for (Running each : oracle.mRunning.values()) {
            if (each.mId == report.rolloutId()) {
                boolean isNew = report.sequence() > each.mSequence;
                each.mSequence = Math.max(each.mSequence, report.sequence());
                return isNew ? RolloutOutcome.ACCEPTED : RolloutOutcome.DUPLICATE;
            }
        }
        return RolloutOutcome.NOT_RUNNING;
    }

    private static RolloutOutcome expectedFirstOutcome(
            Oracle oracle, int step, RolloutCommand command) {
        if (command instanceof RolloutCommand.Start start) {
            if (start.deadlineMillis() <= step * 100L) {
                return RolloutOutcome.INVALID;
            }
            Running running = new Running(step);
            return oracle.mRunning.putIfAbsent(start.to().model(), running) == null
                    ? RolloutOutcome.ACCEPTED
                    : RolloutOutcome.RUNNING_ALREADY;
        }
        if (command instanceof RolloutCommand.Stop stop) {
            return oracle.mRunning.remove(stop.model()) == null
                    ? RolloutOutcome.NOT_RUNNING
                    : RolloutOutcome.ACCEPTED;
        }
        if (command instanceof RolloutCommand.AcquireAuthority) {
            oracle.mAuthority++;
            return RolloutOutcome.ACCEPTED;
        }
        if (command instanceof RolloutCommand.Advance advance) {
            return expectedAdvanceOutcome(oracle, advance);
        }
        boolean isRollBack = command instanceof RolloutCommand.RollBack;
        long authority =
                isRollBack
                        ? ((RolloutCommand.RollBack) command).authority()
                        : ((RolloutCommand.Complete) command).authority();
        long id =
                isRollBack
                        ? ((RolloutCommand.RollBack) command).rolloutId()
                        : ((RolloutCommand.Complete) command).rolloutId();
        if (authority != oracle.mAuthority) {
            return RolloutOutcome.STALE_AUTHORITY;
        }
        return oracle.mRunning.values().removeIf(each -> each.mId == id)
                ? RolloutOutcome.ACCEPTED
                : RolloutOutcome.NOT_RUNNING;
    }

    private static RolloutOutcome expectedAdvanceOutcome(
            Oracle oracle, RolloutCommand.Advance advance) {
        if (advance.authority() != oracle.mAuthority) {
            return RolloutOutcome.STALE_AUTHORITY;
        }
        for (Running each : oracle.mRunning.values()) {
            if (each.mId == advance.rolloutId()) {
                if (each.mStage != advance.stage() || each.mStage == Stages.last()) {
                    return RolloutOutcome.STALE_STAGE;
                }
                each.mStage++;
                return RolloutOutcome.ACCEPTED;
            }
        }
        return RolloutOutcome.NOT_RUNNING;
    }

    private static boolean matchesOracle(RolloutState state, Oracle oracle) {
        if (state.authority() != oracle.mAuthority) {
            return false;
        }
        int running = 0;
        for (Rollout each : state.current()) {
            Running expected = oracle.mRunning.get(each.to().model());
            if (!each.isRunning()) {
                continue;
            }
            running++;
            if (expected == null || expected.mId != each.id() || expected.mStage != each.stage()) {
                return false;
            }
        }
        return running == oracle.mRunning.size();
    }

    private static EvidenceReport report(long rollout, int stage, long sequence) {
        VersionStats stats = VersionStats.create();
        stats.addAnswer(200_000_000);
        stats.addError();
        TrafficSegment segment = new TrafficSegment(WorkspaceId.of("w"), RequestKind.CHAT);
        EvidenceCell cell = new EvidenceCell(segment, LoadLevel.LOW, stats, stats.copy());
        return new EvidenceReport(rollout, stage, InstanceId.of("i"), 1, sequence, List.of(cell));
    }

    /** Guards against malformed input that stops a voter or is accepted as a snapshot. */
    @Property(tries = 500)
    void arbitraryBytesAreRefused(@ForAll @Size(max = 64) byte[] bytes) {
        RolloutState state = RolloutState.create();
        RolloutResult result = RolloutResult.decode(state.apply(1, 1, bytes));
        assertEquals(RolloutOutcome.MALFORMED, result.outcome());
        HemlockrackException thrown =
                assertThrows(HemlockrackException.class, () -> state.restore(bytes));
        assertEquals(ErrorKind.BAD_REQUEST, thrown.kind());
    }

    /** Guards against reports of unbounded size: too many cells, bytes or requests. */
    @Example
    void oversizedReportsAreRefused() {
        EvidenceReport one = report(1, 0, 1);
        List<EvidenceCell> cells = new ArrayList<>();
        for (int i = 0; i <= EvidenceReport.MAX_CELLS; i++) {
            cells.add(one.cells().get(0));
        }
        EvidenceReport large = new EvidenceReport(1, 0, one.instance(), 1, 1, cells);
        VersionStats huge = VersionStats.create();
        huge.addCounts(Long.MAX_VALUE, 0);
        EvidenceCell cell = one.cells().get(0);
        EvidenceReport many =
                new EvidenceReport(
                        1,
                        0,
                        one.instance(),
                        1,
                        1,
                        List.of(new EvidenceCell(cell.segment(), cell.level(), huge, huge)));
        for (EvidenceReport report : List.of(large, many)) {
            byte[] bytes = new RolloutCommand.ReportEvidence(report).encode();
            assertEquals(
                    ErrorKind.BAD_REQUEST,
                    assertThrows(HemlockrackException.class, () -> RolloutCommand.decode(bytes))
                            .kind());
        }
        assertThrows(HemlockrackException.class, () -> RolloutCommand.decode(new byte[1 << 20]));
    }
}
