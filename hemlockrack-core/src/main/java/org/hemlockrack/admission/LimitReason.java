package org.hemlockrack.admission;

/** Why a limit changed. */
public enum LimitReason {
    /** Finished requests within the promise. */
    EVIDENCE,
    /** Errors or timeouts. */
    FAILURE,
    NEW_INCARNATION,
    /** The time to first token rose to a multiple of its smoothed value. */
    LATENCY_JUMP,
    CACHE_CLEARED,
    /** The backend server stated a lower limit, or the settings changed. */
    STATED_LIMIT
}
