package org.hemlockrack.admission;

/** Why a limit changed. */
public enum LimitReason {
    /** Requests finished with a time to first token within the target. */
    EVIDENCE,
    /** Errors or timeouts. */
    FAILURE,
    NEW_INCARNATION,
    /** The time to first token jumped to a multiple of its smoothed value. */
    LATENCY_JUMP,
    CACHE_CLEARED,
    /** The backend server stated a lower limit, or the settings changed. */
    STATED_LIMIT
}
