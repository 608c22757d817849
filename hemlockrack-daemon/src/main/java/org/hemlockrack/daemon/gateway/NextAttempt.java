package org.hemlockrack.daemon.gateway;

/** Whether another attempt follows one that has ended. */
enum NextAttempt {
    /** It follows without asking for a permit. */
    GRANTED,
    /** It follows if the fleet's limit permits it. */
    WANTED,
    NONE;

    static NextAttempt wantedIf(boolean wanted) {
        return wanted ? WANTED : NONE;
    }
}
