package org.hemlockrack.bench;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.stream.Stream;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.claims.ClaimLimits;
import org.hemlockrack.claims.ClaimState;
import org.hemlockrack.config.ConfigState;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.model.InstanceId;

/** Measures the log on disk and the restart of a voter by the changes since the last snapshot. */
final class CapacityLog {
    private static final int[] CONFIG_CHANGE_COUNTS = {50, 100, 200, 400};

    /** A snapshot is due after 200 changes: at 199 and 399 a restart replays the most changes. */
    private static final int[] SNAPSHOT_CHANGE_COUNTS = {50, 100, 199, 399};

    private static final int[] CLAIM_COUNTS = {2_500, 5_000, 10_000, 20_000};
    private static final int WORKSPACES = 1_300;
    private static final long NO_SNAPSHOT = Long.MAX_VALUE / 8;

    /** Same interval as in the daemon. */
    private static final long SNAPSHOT_INTERVAL_ENTRIES = 10_000;

    private static final long RESTART_NANOS = 10_000_000_000L;

    private final SplittableRandom mRandom;
    private long mSnapshotIntervalEntries = NO_SNAPSHOT;

    CapacityLog(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() throws IOException {
        Configuration first = Configuration.parseToml(ConfigBench.createToml(WORKSPACES, mRandom));
        measure(
                "config_changes",
                CONFIG_CHANGE_COUNTS,
                10_000,
                ConfigState::create,
                count -> configCommands(first.toJson(), count));
        mSnapshotIntervalEntries = SNAPSHOT_INTERVAL_ENTRIES;
        measure(
                "config_changes_with_snapshots",
                SNAPSHOT_CHANGE_COUNTS,
                10_000,
                ConfigState::create,
                count -> configCommands(first.toJson(), count));
        mSnapshotIntervalEntries = NO_SNAPSHOT;
        AttemptSource source = AttemptSource.of(InstanceId.of("router-100"), 1);
        ClaimLimits limits = new ClaimLimits(86_400_000, 400_000, 1L << 30, 16_384);
        measure(
                "claims",
                CLAIM_COUNTS,
                5_000,
                () -> ClaimState.of(() -> limits),
                count -> claimCommands(source, count));
    }

    private List<byte[]> configCommands(String first, int count) {
        List<byte[]> commands = new ArrayList<>();
        commands.add(ConfigBench.encodePatch("first", 0, first));
        for (int i = 1; i < count; i++) {
            String name = "w" + mRandom.nextInt(WORKSPACES);
            String text = "{\"workspaces\":{\"" + name + "\":{\"requests_per_second\":" + i + "}}}";
            commands.add(ConfigBench.encodePatch("p" + i, i, text));
        }
        return commands;
    }

    private List<byte[]> claimCommands(AttemptSource source, int count) {
        List<byte[]> commands = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            commands.addAll(CapacityClaims.encodeCommands(source, mRandom, i, 100));
        }
        return commands;
    }

    /** Creates an empty replicated state. */
    private interface StateFactory {
        ReplicatedState create();
    }

    private void measure(
            String name,
            int[] counts,
            int fullSize,
            StateFactory stateFactory,
            IntFunction<List<byte[]>> commandFactory)
            throws IOException {
        LinearFit.Series log = LinearFit.series("log_bytes_by_" + name);
        LinearFit.Series restart = LinearFit.series("restart_ms_by_" + name);
        for (int count : counts) {
            Path folder = Files.createTempDirectory("capacitylog");
            List<byte[]> commandList = commandFactory.apply(count);
            writeLog(folder, stateFactory.create(), commandList);
            log.add(count, folderBytes(folder));
            restart.add(
                    count, measureRestartMillis(folder, stateFactory.create(), commandList.size()));
            MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        }
        log.fitAndPrint(fullSize);
        restart.fitAndPrint(fullSize);
    }

    private void writeLog(Path folder, ReplicatedState state, List<byte[]> commands) {
        CountingStateMachine outputs = new CountingStateMachine();
        try (ReplicaNode node = openNode(folder, state)) {
            node.step(1, List.of(), outputs);
            List<ConsensusEvent> batch = new ArrayList<>();
            for (byte[] command : commands) {
                batch.add(new ConsensusEvent.Propose(batch.size(), command, 1));
                if (batch.size() == 100) {
                    node.step(1, batch, outputs);
                    batch.clear();
                }
            }
            node.step(1, batch, outputs);
        }
        if (outputs.mAppliedCount != commands.size()) {
            throw new IllegalStateException(
                    "not all commands were applied, only " + outputs.mAppliedCount);
        }
    }

    private double measureRestartMillis(Path folder, ReplicatedState state, int commands) {
        long start = System.nanoTime();
        try (ReplicaNode node = openNode(folder, state)) {
            node.step(RESTART_NANOS, List.of(), new CountingStateMachine());
            if (node.consensus().commitIndex() < commands) {
                throw new IllegalStateException("the restarted voter did not recover all commands");
            }
        }
        return (System.nanoTime() - start) / 1e6;
    }

    private ReplicaNode openNode(Path folder, ReplicatedState state) {
        ConsensusSettings settings =
                ConsensusSettings.of(InstanceId.of("a"), List.of(InstanceId.of("a")));
        LogStore store = LogStore.open(folder, mRandom);
        return ReplicaNode.start(settings, store, state, mSnapshotIntervalEntries, mRandom, 0);
    }

    private static long folderBytes(Path folder) throws IOException {
        long bytes = 0;
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                bytes += Files.size(file);
            }
        }
        return bytes;
    }
}
