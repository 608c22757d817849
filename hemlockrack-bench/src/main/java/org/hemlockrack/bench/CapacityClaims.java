package org.hemlockrack.bench;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.ClaimCommand;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimLimits;
import org.hemlockrack.claims.ClaimState;
import org.hemlockrack.claims.RecordedAnswer;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.WorkspaceId;

/** Measures claims on a voter by their number and by the size of recorded answers. */
final class CapacityClaims {
    private static final int[] CLAIM_COUNTS = {50_000, 100_000, 200_000, 400_000};
    private static final int[] ANSWER_BYTES = {100, 512, 1_024, 4_096};

    /** Assumed numbers of non-idempotent commands per day, for which the fit is evaluated. */
    private static final int[] COMMANDS_PER_DAY = {50_000, 400_000, 2_000_000};

    private static final int TYPICAL_ANSWER_BYTES = 100;

    private final SplittableRandom mRandom;

    CapacityClaims(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        LinearFit.Series heap = LinearFit.series("claims_heap_bytes_by_claims");
        LinearFit.Series snapshot = LinearFit.series("claims_snapshot_bytes_by_claims");
        LinearFit.Series snapshotTime = LinearFit.series("claims_snapshot_ms_by_claims");
        LinearFit.Series restoreTime = LinearFit.series("claims_restore_ms_by_claims");
        warmUp();
        for (int claims : CLAIM_COUNTS) {
            long heapBefore = CapacityBench.heapBytes();
            FilledState filled = fillState(claims, TYPICAL_ANSWER_BYTES);
            heap.add(claims, CapacityBench.heapBytes() - heapBefore);
            long start = System.nanoTime();
            byte[] bytes = filled.state().snapshot();
            snapshotTime.add(claims, (System.nanoTime() - start) / 1e6);
            snapshot.add(claims, bytes.length);
            start = System.nanoTime();
            ClaimState.of(CapacityClaims::limits).restore(bytes);
            restoreTime.add(claims, (System.nanoTime() - start) / 1e6);
        }
        LinearFit[] sizeFits = {heap.fitAndPrint(400_000), snapshot.fitAndPrint(400_000)};
        LinearFit[] timeFits = {
            snapshotTime.fitAndPrint(400_000), restoreTime.fitAndPrint(400_000)
        };
        for (int commands : COMMANDS_PER_DAY) {
            String prefix = "claims_" + commands + "_a_day_";
            CapacityBench.printValue(prefix + "heap_bytes", sizeFits[0].valueAt(commands));
            CapacityBench.printValue(prefix + "snapshot_bytes", sizeFits[1].valueAt(commands));
            CapacityBench.printValue(prefix + "snapshot_ms", timeFits[0].valueAt(commands));
            CapacityBench.printValue(prefix + "restore_ms", timeFits[1].valueAt(commands));
        }
        measureAnswerSizes();
    }

    private void warmUp() {
        ClaimState state = fillState(20_000, TYPICAL_ANSWER_BYTES).state();
        for (int i = 0; i < 10; i++) {
            ClaimState.of(CapacityClaims::limits).restore(state.snapshot());
        }
    }

    private void measureAnswerSizes() {
        LinearFit.Series heap = LinearFit.series("claims_heap_bytes_per_claim_by_answer_bytes");
        LinearFit.Series log = LinearFit.series("claims_log_bytes_per_claim_by_answer_bytes");
        int claims = 20_000;
        for (int answerBytes : ANSWER_BYTES) {
            long heapBefore = CapacityBench.heapBytes();
            FilledState filled = fillState(claims, answerBytes);
            heap.add(answerBytes, (CapacityBench.heapBytes() - heapBefore) / (double) claims);
            log.add(answerBytes, filled.commandBytes() / (double) claims);
            if (filled.state().size() != claims) {
                throw new IllegalStateException("the state refused some claims");
            }
        }
        heap.fitAndPrint(1_024);
        log.fitAndPrint(1_024);
    }

    /** A state and the total size of the commands that were applied to it. */
    private record FilledState(ClaimState state, long commandBytes) {}

    private static ClaimLimits limits() {
        return new ClaimLimits(86_400_000, 4_000_000, 1L << 40, 16_384);
    }

    private FilledState fillState(int claims, int answerBytes) {
        ClaimState state = ClaimState.of(CapacityClaims::limits);
        AttemptSource source = AttemptSource.of(InstanceId.of("router-100"), 1);
        long bytes = 0;
        for (int i = 0; i < claims; i++) {
            List<byte[]> commands = encodeCommands(source, mRandom, i, answerBytes);
            for (byte[] command : commands) {
                bytes += command.length;
                state.apply(i, i, command);
            }
        }
        return new FilledState(state, bytes);
    }

    /** Returns the encoded commands that claim a key and that finish this claim. */
    static List<byte[]> encodeCommands(
            AttemptSource source, SplittableRandom random, int index, int answerBytes) {
        ClaimKey key =
                new ClaimKey(
                        WorkspaceId.of("w" + index % 1300),
                        Long.toHexString(random.nextLong()) + "-" + index);
        AttemptId attempt = source.next().orElseThrow();
        BodyHash hash = BodyHash.of("POST", "/bookings", new byte[] {(byte) index});
        byte[] claim =
                new ClaimCommand.Claim(key, attempt, source.lowestPending(), hash, Optional.empty())
                        .encode();
        source.markResolved(attempt);
        RecordedAnswer answer = RecordedAnswer.complete(200, List.of(), new byte[answerBytes]);
        byte[] finish =
                new ClaimCommand.Finish(key, attempt, source.lowestPending(), answer).encode();
        return List.of(claim, finish);
    }
}
