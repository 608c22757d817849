package org.hemlockrack.consensus;

/** Kind of a log entry. The ordinals are part of the wire and file formats. */
public enum EntryKind {
    /** A command for the replicated state. */
    COMMAND,
    /** No content; a new leader appends it so that entries of earlier terms can commit. */
    NO_OP,
    /** A {@link Membership}, which takes effect as soon as it is appended. */
    MEMBERSHIP
}
