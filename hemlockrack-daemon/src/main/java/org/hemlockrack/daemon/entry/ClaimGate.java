package org.hemlockrack.daemon.entry;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/** Decides whether a command with an idempotency key may run. Called on the loop. */
public interface ClaimGate {
    /** What follows from a claim. Called on the loop, exactly once. */
    interface Decision {
        /**
         * The command may run now, once.
         *
         * @param ticket reports how it went
         */
        void granted(Ticket ticket);

        /**
         * The command ran before; this is its recorded answer.
         *
         * @param status HTTP status
         * @param headers header fields
         * @param body the body, or null if it was too large to be recorded
         */
        void replay(int status, List<HeaderField> headers, byte @Nullable [] body);

        /**
         * The command must not run now.
         *
         * @param kind why
         * @param ran whether it took effect
         * @param message the message for the caller
         */
        void refused(ErrorKind kind, RunState ran, String message);
    }

    /** A granted claim. */
    interface Ticket {
        /**
         * The command's answer is complete. The caller must get it only once it is recorded, or a
         * repeat after the loss of this instance could not be answered.
         *
         * @param status HTTP status
         * @param headers header fields to record
         * @param body the body to record
         * @param whenRecorded runs on the loop once the answer is recorded, or when waiting for
         *     that takes too long
         */
        void finished(int status, List<HeaderField> headers, byte[] body, Runnable whenRecorded);

        /** The command was surely not run. */
        void notRun();

        /** The command may have run; its outcome is not known. */
        void unknown();
    }

    /**
     * Claims a key.
     *
     * @param request the command with its key
     * @param decision takes the outcome
     */
    void claim(CallerRequest request, Decision decision);
}
