package org.hemlockrack.consensus;

/** What a log entry holds. The ordinals are part of the wire and file form. */
public enum EntryKind {
    /** A command for the replicated state. */
    COMMAND,
    /** Nothing; a leader appends it at the start of its term so that earlier entries commit. */
    NO_OP,
    /** A {@link Membership}, in force from the moment it is appended. */
    MEMBERSHIP
}
