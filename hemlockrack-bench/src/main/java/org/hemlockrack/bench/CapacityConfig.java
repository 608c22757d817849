package org.hemlockrack.bench;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.zip.Deflater;
import org.hemlockrack.config.ConfigReplica;
import org.hemlockrack.config.ConfigState;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.membership.ControlBudget;

/** Measures the configuration and its distribution by the number of workspaces. */
final class CapacityConfig {
    private static final int[] WORKSPACE_COUNTS = {160, 325, 650, 1_300};
    private static final int FULL_SIZE_WORKSPACES = 1_300;
    private static final int RUNS = 30;
    private static final double CHANGES_PER_DAY = 1_500;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double BUDGET_BYTES_PER_SECOND = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;

    private final SplittableRandom mRandom;
    private final LinearFit.Series mPullBytes = LinearFit.series("config_pull_bytes_by_workspaces");
    private final LinearFit.Series mDeflatedBytes =
            LinearFit.series("config_deflated_bytes_by_workspaces");
    private final LinearFit.Series mPullMillis =
            LinearFit.series("config_pull_check_ms_by_workspaces");
    private final LinearFit.Series mPrintMillis =
            LinearFit.series("config_pull_print_ms_by_workspaces");
    private final LinearFit.Series mApplyMillis = LinearFit.series("config_apply_ms_by_workspaces");
    private final LinearFit.Series mSnapshotBytes =
            LinearFit.series("config_snapshot_bytes_by_workspaces");
    private final LinearFit.Series mHeapBytes = LinearFit.series("config_heap_bytes_by_workspaces");
    private long mPatchBytes;

    CapacityConfig(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        measure(160, false);
        for (int workspaces : WORKSPACE_COUNTS) {
            measure(workspaces, true);
        }
        LinearFit pull = mPullBytes.fitAndPrint(FULL_SIZE_WORKSPACES);
        mDeflatedBytes.fitAndPrint(FULL_SIZE_WORKSPACES);
        mPullMillis.fitAndPrint(FULL_SIZE_WORKSPACES);
        mPrintMillis.fitAndPrint(FULL_SIZE_WORKSPACES);
        mApplyMillis.fitAndPrint(FULL_SIZE_WORKSPACES);
        mSnapshotBytes.fitAndPrint(FULL_SIZE_WORKSPACES);
        mHeapBytes.fitAndPrint(FULL_SIZE_WORKSPACES);
        printDistributionCost(pull.valueAt(FULL_SIZE_WORKSPACES));
    }

    private void measure(int workspaces, boolean addResults) {
        String toml = ConfigBench.createToml(workspaces, mRandom);
        long heapBefore = CapacityBench.heapBytes();
        Configuration configuration = Configuration.parseToml(toml);
        long heapBytes = CapacityBench.heapBytes() - heapBefore;
        double printMillis = averageMillis(configuration::toToml);
        double pullMillis = averageMillis(() -> ConfigReplica.create().acceptIfNewer(1, toml));
        ConfigState state = ConfigState.create();
        state.apply(0, 0, ConfigBench.encodePatch("first", 0, configuration.toJson()));
        double applyMillis = averageMillis(() -> applyChange(state, workspaces));
        if (state.version() != 2 * RUNS + 1) {
            throw new IllegalStateException("the state refused a change");
        }
        if (!addResults) {
            return;
        }
        byte[] document = configuration.toToml().getBytes(StandardCharsets.UTF_8);
        mPullBytes.add(workspaces, document.length);
        mDeflatedBytes.add(workspaces, deflatedBytes(document));
        mPullMillis.add(workspaces, pullMillis);
        mPrintMillis.add(workspaces, printMillis);
        mApplyMillis.add(workspaces, applyMillis);
        mSnapshotBytes.add(workspaces, state.snapshot().length);
        mHeapBytes.add(workspaces, heapBytes);
    }

    private void applyChange(ConfigState state, int workspaces) {
        long version = state.version();
        String name = "w" + mRandom.nextInt(workspaces);
        String text =
                "{\"workspaces\":{\"" + name + "\":{\"requests_per_second\":" + version + "}}}";
        byte[] patch = ConfigBench.encodePatch("p" + version, version, text);
        mPatchBytes = patch.length;
        state.apply(version, version, patch);
    }

    private static int deflatedBytes(byte[] document) {
        Deflater deflater = new Deflater();
        deflater.setInput(document);
        deflater.finish();
        int bytes = deflater.deflate(new byte[document.length]);
        deflater.end();
        return bytes;
    }

    private static double averageMillis(Runnable action) {
        for (int i = 0; i < RUNS; i++) {
            action.run();
        }
        long start = System.nanoTime();
        for (int i = 0; i < RUNS; i++) {
            action.run();
        }
        return (System.nanoTime() - start) / 1e6 / RUNS;
    }

    /** Computes the cost of distributing whole documents and single changes from their sizes. */
    private void printDistributionCost(double pullBytes) {
        double meanBytesPerSecond = pullBytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
        double deltaBytes = ControlBudget.messageBytes((int) mPatchBytes, 20);
        CapacityBench.printValue("config_whole_mean_bytes_per_s_per_instance", meanBytesPerSecond);
        CapacityBench.printValue(
                "config_whole_seconds_at_budget", pullBytes / BUDGET_BYTES_PER_SECOND);
        CapacityBench.printValue("config_patch_bytes", mPatchBytes);
        CapacityBench.printValue(
                "config_delta_mean_bytes_per_s_per_instance",
                deltaBytes * CHANGES_PER_DAY / SECONDS_PER_DAY);
        CapacityBench.printValue(
                "config_delta_seconds_at_budget", deltaBytes / BUDGET_BYTES_PER_SECOND);
    }
}
