package org.hemlockrack.daemon.replica;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.wire.ProposeReply;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.ProposeStatus;
import org.jspecify.annotations.Nullable;

/** Handles proposals that other instances send to the replica of this instance. */
public final class ProposalEndpoint {
    private static final long MAX_PROPOSE_MILLIS = 10_000;

    private ProposalEndpoint() {}

    /**
     * Proposes a command of another instance and waits for its outcome, which is unknown after a
     * timeout.
     *
     * @param replica the replica of this instance, or null if it has none
     * @param request the command and its timeout
     * @return the reply
     */
    public static ProposeReply handle(@Nullable ReplicaService replica, ProposeRequest request) {
        ProposeReply reply = new ProposeReply();
        if (replica == null) {
            reply.setStatus(ProposeStatus.NOT_LEADER);
            return reply;
        }
        long waitMillis = Math.min(request.getTimeoutMillis(), MAX_PROPOSE_MILLIS);
        ProposalOutcome outcome = proposeAndWait(replica, request.getCommand(), waitMillis);
        reply.setStatus(toWireStatus(outcome.status()));
        if (outcome.result() != null) {
            reply.setResult(outcome.result());
        }
        if (outcome.leader() != null) {
            reply.setLeader(outcome.leader().value());
        }
        return reply;
    }

    private static ProposalOutcome proposeAndWait(
            ReplicaService replica, byte[] command, long waitMillis) {
        try {
            return replica.propose(command).get(waitMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null);
        }
    }

    private static ProposeStatus toWireStatus(ProposalStatus status) {
        return switch (status) {
            case APPLIED -> ProposeStatus.APPLIED;
            case UNKNOWN -> ProposeStatus.UNKNOWN;
            default -> ProposeStatus.NOT_LEADER;
        };
    }
}
