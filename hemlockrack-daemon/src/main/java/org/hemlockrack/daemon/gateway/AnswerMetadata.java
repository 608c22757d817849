package org.hemlockrack.daemon.gateway;

import org.hemlockrack.capacity.ReportedLoad;
import org.jspecify.annotations.Nullable;

/**
 * Protocol data from the head of a backend server's answer.
 *
 * @param attemptId id of the request that it answers, or null
 * @param signed whether the server has signed the answer
 * @param refused whether the server states that it has not run the request and never will
 * @param misdirected whether the request reached a server other than the intended one
 * @param leaving whether the server states that it leaves
 * @param restMillis time for which the server wants no requests, negative if it states none
 * @param load load that the server reports, {@link ReportedLoad#NONE} if it reports none
 */
public record AnswerMetadata(
        @Nullable String attemptId,
        boolean signed,
        boolean refused,
        boolean misdirected,
        boolean leaving,
        long restMillis,
        ReportedLoad load) {
    /** Creates the metadata of an answer without a load report. */
    public AnswerMetadata(
            @Nullable String attemptId,
            boolean signed,
            boolean refused,
            boolean misdirected,
            boolean leaving,
            long restMillis) {
        this(attemptId, signed, refused, misdirected, leaving, restMillis, ReportedLoad.NONE);
    }
}
