package org.hemlockrack.retry;

/** What to do after a failed attempt. */
public enum RetryAction {
    /** Try the next choice. */
    ELSEWHERE,
    /** Try the same backend server again, over a new connection. */
    SAME,
    GIVE_UP
}
