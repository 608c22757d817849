package org.hemlockrack.retry;

/** What to do after a failed attempt. */
public enum RetryAction {
    /** Retry at the next server in the ranking. */
    OTHER_SERVER,
    /** Retry at the same backend server over a new connection. */
    SAME_SERVER,
    GIVE_UP
}
