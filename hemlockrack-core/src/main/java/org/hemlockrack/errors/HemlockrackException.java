package org.hemlockrack.errors;

import org.jspecify.annotations.Nullable;

/** An error with an {@link ErrorKind}, which determines the answer to the caller. */
public class HemlockrackException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;

    private HemlockrackException(ErrorKind kind, String message, @Nullable Throwable cause) {
        super(message, cause);
        mKind = kind;
    }

    /**
     * Creates an exception without a cause.
     *
     * @param kind the kind
     * @param message what is wrong and, where it helps, what is allowed
     * @return the exception
     */
    public static HemlockrackException of(ErrorKind kind, String message) {
        return new HemlockrackException(kind, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind
     * @param message what is wrong
     * @param cause the cause
     * @return the exception
     */
    public static HemlockrackException of(ErrorKind kind, String message, Throwable cause) {
        return new HemlockrackException(kind, message, cause);
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return mKind;
    }
}
