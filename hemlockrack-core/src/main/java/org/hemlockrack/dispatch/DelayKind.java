package org.hemlockrack.dispatch;

/** Times that are compared between the servers of a service. */
public enum DelayKind {
    /** From the choice of a server to the first piece, with the shared prompt prefix cached. */
    FIRST_PIECE_CACHED("cached"),
    /** Same, without the prefix or with none. */
    FIRST_PIECE("first"),
    /** Between the first pieces of a stream. */
    PAUSE("pause");

    private final String mSuffix;

    DelayKind(String suffix) {
        mSuffix = suffix;
    }

    /** Returns the kind of work for which times are comparable. */
    String workKind(String route) {
        return route + " " + mSuffix;
    }
}
