package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.hemlockrack.dispatch.PromptHash;
import org.hemlockrack.quarantine.Cut;
import org.hemlockrack.quarantine.PromptParts;
import org.hemlockrack.registry.Registration;

/** Reports what the attempts of one exchange show about prompt parts that crash servers. */
final class CrashEvidence {
    private final GatewayQuarantine mQuarantine;
    private final String mAttemptId;
    private final PromptParts mParts;
    private final List<String> mPartNames;

    CrashEvidence(GatewayQuarantine quarantine, String attemptId, PromptParts parts) {
        mQuarantine = quarantine;
        mAttemptId = attemptId;
        mParts = parts;
        mPartNames = parts.all();
    }

    /** Records that a server has begun to answer. */
    void recordAnswer(long nowNanos) {
        if (!mPartNames.isEmpty()) {
            mQuarantine.recordAnswer(nowNanos, mParts);
        }
    }

    /**
     * Records that a server has cut the connection of an attempt.
     *
     * @return whether it may have crashed because of the prompt
     */
    boolean recordCut(long nowNanos, ForwardAttempt attempt) {
        if (mPartNames.isEmpty()) {
            return false;
        }
        Registration server = attempt.server();
        boolean begun = attempt.hasBegun();
        // Looked up first, as the cut itself makes the parts suspicious.
        boolean mayCrashServers = !begun && mQuarantine.isSuspicious(nowNanos, mPartNames);
        mQuarantine.recordCut(
                nowNanos,
                new Cut(
                        server.id(),
                        server.startMillis(),
                        PromptHash.of(mAttemptId + " " + server.id()),
                        begun ? List.of() : mParts.shared(),
                        begun ? null : mParts.own()));
        return mayCrashServers;
    }

    /** Records that a server refuses connections, as one that has crashed does. */
    void recordRefusedConnection(long nowNanos, Registration server) {
        mQuarantine.recordCut(nowNanos, Cut.refusedConnection(server.id(), server.startMillis()));
    }
}
