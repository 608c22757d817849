package org.hemlockrack.daemon.replica;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.claims.ClaimLimits;
import org.hemlockrack.claims.ClaimState;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.config.ConfigState;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.Difference;
import org.hemlockrack.config.HistoryEntry;
import org.hemlockrack.consensus.CompositeState;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.daemon.config.ConfigService.VersionedConfig;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.operator.ConfigCommands;
import org.hemlockrack.rollout.RolloutState;
import org.jspecify.annotations.Nullable;

/**
 * The state machines that a voter keeps from the replicated log: configuration, claims and
 * roll-outs. Confined to the loop of the log except where stated.
 */
public final class VoterState implements ConfigCommands.ConfigStateReader {
    private final EventLoop mLoop;
    private final ConfigState mConfig = ConfigState.create();
    private final ClaimState mClaims =
            ClaimState.of(() -> ClaimLimits.of(mConfig.configuration().limits()));
    private final RolloutState mRollouts = RolloutState.create();
    private final ReplicatedState mComposite =
            CompositeState.of(
                    Map.of(
                            StateMachineId.CONFIG.code(), mConfig,
                            StateMachineId.CLAIMS.code(), mClaims,
                            StateMachineId.ROLLOUT.code(), mRollouts));

    private VoterState(EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Creates empty state machines.
     *
     * @param loop loop on which the log is applied
     * @return the state machines
     */
    public static VoterState create(EventLoop loop) {
        return new VoterState(loop);
    }

    /** Returns the composite state machine to which the log is applied. */
    public ReplicatedState replicatedState() {
        return mComposite;
    }

    /** Returns the roll-outs. */
    public RolloutState rollouts() {
        return mRollouts;
    }

    /** Returns the version of the configuration. */
    public long configVersion() {
        return mConfig.version();
    }

    /** Returns the configuration. */
    public Configuration configuration() {
        return mConfig.configuration();
    }

    /** Returns the version and its configuration. Safe for any thread but the loop of the log. */
    public VersionedConfig current() {
        return mLoop.submit(() -> new VersionedConfig(configVersion(), configuration())).join();
    }

    /** Returns the number of claims. Safe for use from any thread but the loop of the log. */
    public int claimCount() {
        return mLoop.submit(mClaims::size).join();
    }

    /** {@inheritDoc} Safe for use from any thread but the loop of the log. */
    @Override
    public @Nullable String historyJson() {
        List<HistoryEntry> history = mLoop.submit(mConfig::history).join();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode versions = json.putArray("versions");
        for (HistoryEntry entry : history) {
            ObjectNode row = versions.addObject();
            row.put("version", entry.version());
            row.put("time_ms", entry.timeMillis());
            row.put("author", entry.author());
            row.put("request_id", entry.requestId());
            ArrayNode differences = row.putArray("differences");
            for (Difference difference : entry.differences()) {
                differences.add(difference.toString());
            }
        }
        return json.toString();
    }

    /** {@inheritDoc} Safe for use from any thread but the loop of the log. */
    @Override
    public Optional<ConfigCommands.DryRunResult> dryRun(ConfigCommand command) {
        ConfigState.DryRun run = mLoop.submit(() -> mConfig.dryRun(command)).join();
        return Optional.of(
                new ConfigCommands.DryRunResult(run.result(), run.errors(), run.differences()));
    }
}
