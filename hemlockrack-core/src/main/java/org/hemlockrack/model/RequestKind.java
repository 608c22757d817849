package org.hemlockrack.model;

/** Kind of a request; it determines retries and is distinguished in roll-out statistics. */
public enum RequestKind {
    /** A chat completion; it may be run more than once. */
    CHAT(true),
    /** An idempotent call of a plain service, which is any but chat completions. */
    SERVICE_READ(true),
    /** A non-idempotent call of a plain service; also called a command. */
    SERVICE_COMMAND(false);

    private final boolean mIdempotent;

    RequestKind(boolean idempotent) {
        mIdempotent = idempotent;
    }

    /** Returns whether running the request twice has the effect of running it once. */
    public boolean isIdempotent() {
        return mIdempotent;
    }
}
