package org.hemlockrack.bench;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.zip.Deflater;
import org.hemlockrack.config.ConfigReplica;
import org.hemlockrack.config.ConfigState;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.membership.ControlBudget;

/** The configuration and its distribution against the number of workspaces. */
final class CapacityConfig {
    private static final int[] WORKSPACES = {160, 325, 650, 1_300};
    private static final int FULL = 1_300;
    private static final int RUNS = 30;
    private static final double CHANGES_PER_DAY = 1_500;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double BUDGET = ControlBudget.FULL_SIZE_BYTES_PER_SECOND;

    private final SplittableRandom mRandom;
    private final LinearFit.Series mDocument = LinearFit.points("config_pull_bytes_by_workspaces");
    private final LinearFit.Series mDeflated =
            LinearFit.points("config_deflated_bytes_by_workspaces");
    private final LinearFit.Series mPull = LinearFit.points("config_pull_check_ms_by_workspaces");
    private final LinearFit.Series mPrint = LinearFit.points("config_pull_print_ms_by_workspaces");
    private final LinearFit.Series mApply = LinearFit.points("config_apply_ms_by_workspaces");
    private final LinearFit.Series mSnapshot =
            LinearFit.points("config_snapshot_bytes_by_workspaces");
    private final LinearFit.Series mHeap = LinearFit.points("config_heap_bytes_by_workspaces");
    private long mPatchBytes;

    CapacityConfig(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        measure(160, false);
        for (int workspaces : WORKSPACES) {
            measure(workspaces, true);
        }
        LinearFit pull = mDocument.print(FULL);
        mDeflated.print(FULL);
        mPull.print(FULL);
        mPrint.print(FULL);
        mApply.print(FULL);
        mSnapshot.print(FULL);
        mHeap.print(FULL);
        distribution(pull.at(FULL));
    }

    private void measure(int workspaces, boolean keep) {
        String toml = ConfigBench.document(workspaces, mRandom);
        long before = CapacityBench.heapBytes();
        Configuration configuration = Configuration.parseToml(toml);
        long heap = CapacityBench.heapBytes() - before;
        double printMillis = millis(configuration::toToml);
        double pullMillis = millis(() -> ConfigReplica.create().acceptIfNewer(1, toml));
        ConfigState state = ConfigState.create();
        state.apply(0, 0, ConfigBench.patch("first", 0, configuration.toJson()));
        double applyMillis = millis(() -> change(state, workspaces));
        if (state.version() != 2 * RUNS + 1) {
            throw new IllegalStateException("the state refused a change");
        }
        if (!keep) {
            return;
        }
        byte[] document = configuration.toToml().getBytes(StandardCharsets.UTF_8);
        mDocument.add(workspaces, document.length);
        mDeflated.add(workspaces, deflatedBytes(document));
        mPull.add(workspaces, pullMillis);
        mPrint.add(workspaces, printMillis);
        mApply.add(workspaces, applyMillis);
        mSnapshot.add(workspaces, state.snapshot().length);
        mHeap.add(workspaces, heap);
    }

    private void change(ConfigState state, int workspaces) {
        long version = state.version();
        String name = "w" + mRandom.nextInt(workspaces);
        String text =
                "{\"workspaces\":{\"" + name + "\":{\"requests_per_second\":" + version + "}}}";
        byte[] patch = ConfigBench.patch("p" + version, version, text);
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

    private static double millis(Runnable action) {
        for (int i = 0; i < RUNS; i++) {
            action.run();
        }
        long start = System.nanoTime();
        for (int i = 0; i < RUNS; i++) {
            action.run();
        }
        return (System.nanoTime() - start) / 1e6 / RUNS;
    }

    /** Computes from the measured sizes what pulls of whole documents and of changes take. */
    private void distribution(double pullBytes) {
        double mean = pullBytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
        double delta = ControlBudget.messageBytes((int) mPatchBytes, 20);
        CapacityBench.value("config_whole_mean_bytes_per_s_per_instance", mean);
        CapacityBench.value("config_whole_seconds_at_budget", pullBytes / BUDGET);
        CapacityBench.value("config_patch_bytes", mPatchBytes);
        CapacityBench.value(
                "config_delta_mean_bytes_per_s_per_instance",
                delta * CHANGES_PER_DAY / SECONDS_PER_DAY);
        CapacityBench.value("config_delta_seconds_at_budget", delta / BUDGET);
    }
}
