package org.hemlockrack.daemon.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.ConfigReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigEndpointTest {
    private static final InstanceId SELF = InstanceId.of("i1");
    private static final InstanceId OTHER = InstanceId.of("i2");
    private static final int SNAPSHOT_ENTRIES = 10;

    private final EventLoop mLoop = EventLoop.open("log", Throwable::printStackTrace);
    private final VoterState mState = VoterState.create(mLoop);

    /** Starts a replica that publishes nothing, so that its state is only in the log. */
    private ReplicaService start(Path folder, List<InstanceId> voters) {
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(SELF, voters),
                        LogStore.open(folder, new SecureRandom()),
                        mState.replicatedState(),
                        SNAPSHOT_ENTRIES,
                        new SplittableRandom(1),
                        mLoop.nowNanos());
        return ReplicaService.start(
                mLoop, node, failed -> failed, packet -> {}, EventLog.create(), () -> {});
    }

    private static byte[] patch(long version) {
        String toml = "[workspaces.demo]\nmax_concurrent_requests = " + (version + 1);
        ConfigCommand command =
                ConfigCommand.of(
                        "r" + version, "operator", version, new ConfigCommand.TomlPatch(toml));
        return StateMachineId.CONFIG.encodeCommand(command.encode());
    }

    /**
     * Guards against a started instance that takes an older version than one that was acknowledged
     * before it asked the leader.
     */
    @Test
    void leaderConfirmsEveryAcknowledgedChange(@TempDir Path folder) throws Exception {
        try (ReplicaService replica = start(folder, List.of(SELF))) {
            while (replica.role() != Role.LEADER) {
                TimeUnit.MILLISECONDS.sleep(5);
            }
            ConfigEndpoint endpoint = ConfigEndpoint.of(replica, mState);
            for (long version = 0; version < 3; version++) {
                ProposalStatus status =
                        replica.propose(patch(version)).get(10, TimeUnit.SECONDS).status();
                assertEquals(ProposalStatus.APPLIED, status);
                ConfigReply reply = endpoint.fetchConfirmed();
                assertTrue(reply.isConfirmed());
                assertEquals(version + 1, reply.getVersion());
            }
        }
    }

    /** Guards against a version that is taken for the newest one because an instance has a log. */
    @Test
    void instanceThatDoesNotLeadConfirmsNothing(@TempDir Path folder) {
        try (ReplicaService replica = start(folder, List.of(SELF, OTHER))) {
            ConfigReply reply = ConfigEndpoint.of(replica, mState).fetchConfirmed();
            assertFalse(reply.isConfirmed());
            assertEquals(0, reply.getVersion());
            assertFalse(reply.isSetDocument());
        }
        assertFalse(ConfigEndpoint.of(null, null).fetchConfirmed().isConfirmed());
    }
}
