package org.hemlockrack.bench;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.ClaimCommand;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimLimits;
import org.hemlockrack.claims.ClaimState;
import org.hemlockrack.claims.RecordedAnswer;
import org.hemlockrack.config.BearerKey;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.config.ConfigState;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.WorkspaceId;

/** Measures configuration patches and claims at several sizes. */
public final class ConfigBench {
    private static final int[] WORKSPACE_COUNTS = {10, 100, 400, 1300};
    private static final int[] CLAIM_COUNTS = {1_000, 10_000, 100_000, 400_000};
    private static final int PATCH_COUNT = 100;
    private static final int ANSWER_BYTES = 100;

    private final SplittableRandom mRandom;
    private final PrintStream mOut;

    private ConfigBench(long seed, PrintStream out) {
        mRandom = new SplittableRandom(seed);
        mOut = out;
    }

    /**
     * Runs the benchmark.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        ConfigBench bench = new ConfigBench(seed, System.out);
        bench.measurePatches(100, false);
        bench.measureClaims(10_000, false);
        bench.mOut.println("workspaces  patches/s  check ms  document bytes  snapshot bytes");
        for (int workspaces : WORKSPACE_COUNTS) {
            bench.measurePatches(workspaces, true);
        }
        bench.mOut.println("claims  operations/s  heap bytes/claim  snapshot bytes  snapshot ms");
        for (int claims : CLAIM_COUNTS) {
            bench.measureClaims(claims, true);
        }
    }

    private void measurePatches(int workspaces, boolean print) {
        String document = createToml(workspaces, mRandom);
        ConfigState state = ConfigState.create();
        state.apply(0, 0, encodePatch("first", 0, Configuration.parseToml(document).toJson()));
        long start = System.nanoTime();
        for (int i = 1; i <= PATCH_COUNT; i++) {
            String name = "w" + mRandom.nextInt(workspaces);
            String text = "{\"workspaces\":{\"" + name + "\":{\"requests_per_second\":" + i + "}}}";
            state.apply(i, i, encodePatch("p" + i, i, text));
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        require(state.version() == PATCH_COUNT + 1);
        start = System.nanoTime();
        for (int i = 0; i < PATCH_COUNT; i++) {
            Configuration.parseToml(document);
        }
        double checkMillis = (System.nanoTime() - start) / 1e6 / PATCH_COUNT;
        int snapshotBytes = state.snapshot().length;
        if (!print) {
            return;
        }
        double perSecond = PATCH_COUNT / seconds;
        mOut.printf(
                "%10d %10.0f %9.2f %15d %15d%n",
                workspaces, perSecond, checkMillis, document.length(), snapshotBytes);
        mOut.printf("config_patches_per_s_%d=%.0f%n", workspaces, perSecond);
        mOut.printf("config_check_ms_%d=%.2f%n", workspaces, checkMillis);
        mOut.printf("config_document_bytes_%d=%d%n", workspaces, document.length());
        mOut.printf("config_snapshot_bytes_%d=%d%n", workspaces, snapshotBytes);
    }

    private void measureClaims(int claims, boolean print) {
        long heapBefore = heapBytes();
        ClaimLimits limits = new ClaimLimits(86_400_000, claims, 1 << 30, 16_384);
        ClaimState state = ClaimState.of(() -> limits);
        AttemptSource source = AttemptSource.of(InstanceId.of("entry-1"), 1);
        long start = System.nanoTime();
        for (int i = 0; i < claims; i++) {
            claimAndFinish(state, source, i);
        }
        double seconds = (System.nanoTime() - start) / 1e9;
        require(state.size() == claims);
        double heapPerClaim = (heapBytes() - heapBefore) / (double) claims;
        start = System.nanoTime();
        int snapshotBytes = state.snapshot().length;
        double snapshotMillis = (System.nanoTime() - start) / 1e6;
        if (!print) {
            return;
        }
        double perSecond = 2 * claims / seconds;
        mOut.printf(
                "%6d %13.0f %17.0f %15d %12.0f%n",
                claims, perSecond, heapPerClaim, snapshotBytes, snapshotMillis);
        mOut.printf("claim_operations_per_s_%d=%.0f%n", claims, perSecond);
        mOut.printf("claim_heap_bytes_%d=%.0f%n", claims, heapPerClaim);
        mOut.printf("claim_counted_bytes_%d=%d%n", claims, state.totalBytes() / claims);
        mOut.printf("claim_snapshot_bytes_%d=%d%n", claims, snapshotBytes);
        mOut.printf("claim_snapshot_ms_%d=%.0f%n", claims, snapshotMillis);
    }

    private void claimAndFinish(ClaimState state, AttemptSource source, int i) {
        ClaimKey key =
                new ClaimKey(
                        WorkspaceId.of("w" + i % 1300),
                        Long.toHexString(mRandom.nextLong()) + "-" + i);
        var attempt = source.next().orElseThrow();
        BodyHash hash = BodyHash.of("POST", "/bookings", new byte[] {(byte) i});
        state.apply(
                i,
                i,
                new ClaimCommand.Claim(key, attempt, source.lowestPending(), hash, Optional.empty())
                        .encode());
        source.markResolved(attempt);
        RecordedAnswer answer = RecordedAnswer.complete(200, List.of(), new byte[ANSWER_BYTES]);
        state.apply(
                i,
                i,
                new ClaimCommand.Finish(key, attempt, source.lowestPending(), answer).encode());
    }

    /** Returns a configuration document with one bearer key for each workspace. */
    static String createToml(int workspaces, SplittableRandom random) {
        StringBuilder text =
                new StringBuilder("[services.s]\nkind = \"model\"\nmodels = [\"m\"]\n");
        for (int i = 0; i < workspaces; i++) {
            BearerKey.SaltedHash key = BearerKey.create("k" + i, random).createSaltedHash(random);
            text.append("[workspaces.w").append(i).append("]\npriority = \"high\"\n");
            text.append("services = [\"s\"]\nmax_concurrent_requests = 50\n");
            text.append("promise = {first_token_ms = 720, between_tokens_ms = 28}\n");
            text.append("[workspaces.w")
                    .append(i)
                    .append(".keys.k")
                    .append(i)
                    .append("]\nsalt = \"");
            text.append(key.saltHex()).append("\"\nhash = \"").append(key.hashHex()).append("\"\n");
        }
        return text.toString();
    }

    static byte[] encodePatch(String requestId, long base, String json) {
        ConfigCommand.Change change = new ConfigCommand.JsonPatch(json);
        return ConfigCommand.of(requestId, "bench", base, change).encode();
    }

    private static long heapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalStateException("the state refused a command of the benchmark");
        }
    }
}
