package org.hemlockrack.model;

/** Kind of a request, as far as retries and evidence differ by it. */
public enum RequestKind {
    /** A chat completion; it may be run again. */
    CHAT(true),
    /** An idempotent call of a plain service. */
    SERVICE_READ(true),
    /** A non-idempotent call of a plain service. */
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
