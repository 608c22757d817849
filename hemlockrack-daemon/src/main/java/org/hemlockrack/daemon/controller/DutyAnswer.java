package org.hemlockrack.daemon.controller;

/** What the platform says of a call of a duty. */
public enum DutyAnswer {
    /** The call took effect, or an equal one did before. */
    ACCEPTED,
    /** The platform has seen a higher token. */
    OUTDATED,
    /** The platform accepts no more calls now. */
    LIMITED,
    /** There is no answer that says whether the call takes effect; it may still do so. */
    UNKNOWN
}
