package org.hemlockrack.consensus;

/** How a proposal ended. */
public enum ProposalStatus {
    /** Committed and applied. */
    APPLIED,
    /** Not appended: this replica does not lead. */
    NOT_LEADER,
    /** Not appended: too much is waiting for commitment. */
    OVERLOADED,
    /** Not appended: a voter change that is not allowed now or does not fit the members. */
    REFUSED,
    /** Appended, but leadership was lost before commitment; it may or may not take effect. */
    UNKNOWN
}
