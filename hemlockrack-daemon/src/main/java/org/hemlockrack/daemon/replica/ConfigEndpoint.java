package org.hemlockrack.daemon.replica;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.config.ConfigService.VersionedConfig;
import org.hemlockrack.wire.ConfigReply;
import org.jspecify.annotations.Nullable;

/** Answers instances that ask for the configuration with all acknowledged changes. */
public final class ConfigEndpoint {
    private static final long MAX_CONFIRM_MILLIS = 1_000;

    private final @Nullable ReplicaService mReplica;
    private final @Nullable VoterState mState;

    private ConfigEndpoint(@Nullable ReplicaService replica, @Nullable VoterState state) {
        mReplica = replica;
        mState = state;
    }

    /**
     * Returns an endpoint.
     *
     * @param replica the replica of this instance, or null if it has none
     * @param state the state that the replica keeps, or null if there is no replica
     * @return the endpoint
     */
    public static ConfigEndpoint of(@Nullable ReplicaService replica, @Nullable VoterState state) {
        return new ConfigEndpoint(replica, state);
    }

    /**
     * Reads the configuration after all changes that were acknowledged before this call. Waits at
     * most 1,000 ms for a majority of the voters to confirm that this instance leads.
     *
     * @return the configuration, or version 0 that is not confirmed if this instance does not lead
     */
    public ConfigReply fetchConfirmed() {
        ConfigReply reply = new ConfigReply();
        if (mReplica == null || mState == null || !isLeadershipConfirmed(mReplica)) {
            return reply;
        }
        VersionedConfig current = mState.current();
        reply.setVersion(current.version());
        reply.setDocument(current.configuration().toToml());
        reply.setConfirmed(true);
        return reply;
    }

    private static boolean isLeadershipConfirmed(ReplicaService replica) {
        try {
            ProposalOutcome outcome =
                    replica.readIndex().get(MAX_CONFIRM_MILLIS, TimeUnit.MILLISECONDS);
            return outcome.status() == ProposalStatus.APPLIED;
        } catch (TimeoutException | ExecutionException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
