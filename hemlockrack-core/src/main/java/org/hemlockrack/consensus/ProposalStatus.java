package org.hemlockrack.consensus;

/** How a proposal ended. */
public enum ProposalStatus {
    /** Committed and applied. */
    APPLIED,
    /** Not appended: this replica is not the leader. */
    NOT_LEADER,
    /** Not appended: the uncommitted proposals reach the limit in bytes. */
    OVERLOADED,
    /**
     * Not appended: the command is too large, or the voter change is not allowed at present or does
     * not fit the current members.
     */
    REFUSED,
    /** Appended, but leadership was lost before it committed; it may or may not take effect. */
    UNKNOWN
}
