package org.hemlockrack.errors;

import org.jspecify.annotations.Nullable;

/** The unchecked exception of the project; its {@link ErrorKind} decides the answer. */
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
     * @param message what was found and, where it helps, what is allowed
     * @return the exception
     */
    public static HemlockrackException of(ErrorKind kind, String message) {
        return new HemlockrackException(kind, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind
     * @param message what was found
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
