package org.hemlockrack.daemon.entry;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/** Decides whether a command with an idempotency key may run. Called on the loop. */
public interface ClaimGate {
    /** Receives the outcome of a claim. Exactly one method is called, once, on the loop. */
    interface Callback {
        /**
         * The command may run now, once.
         *
         * @param ticket reports the outcome of the run
         */
        void onGranted(Ticket ticket);

        /**
         * The command ran before; this is its recorded answer.
         *
         * @param status HTTP status
         * @param headers header fields
         * @param body the body, or null if it was too large to be recorded
         */
        void onReplay(int status, List<HeaderField> headers, byte @Nullable [] body);

        /**
         * The command must not run now.
         *
         * @param kind why
         * @param ran whether it took effect
         * @param message the message for the caller
         */
        void onRefused(ErrorKind kind, RunState ran, String message);
    }

    /** A granted claim. Its holder reports the outcome of the command with one of the methods. */
    interface Ticket {
        /**
         * Records the complete answer of the command. The answer is sent to the caller only by
         * {@code whenRecorded}; if it were sent before it is recorded, a repeat after the loss of
         * this instance could not be answered.
         *
         * @param status HTTP status
         * @param headers header fields to record
         * @param body the body to record
         * @param whenRecorded runs on the loop once the answer is recorded, or when waiting for
         *     that takes too long
         */
        void recordAnswer(
                int status, List<HeaderField> headers, byte[] body, Runnable whenRecorded);

        /** Reports that the command has certainly not run. */
        void markNotRun();

        /** Reports that the command may have run and that its outcome is unknown. */
        void markUnknown();
    }

    /**
     * Claims a key.
     *
     * @param request the command with its key
     * @param callback receives the outcome
     */
    void claim(CallerRequest request, Callback callback);
}
