package org.hemlockrack.config;

import java.util.Optional;
import org.hemlockrack.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/** How a configuration command ended. */
public enum ConfigOutcome {
    /** The command created a new version. */
    ACCEPTED(null),
    /** The base version is not the one in force. */
    CONFLICT(ErrorKind.VERSION_CONFLICT),
    /** The changed document is invalid. */
    INVALID(ErrorKind.CONFIG_INVALID),
    /** The command or patch cannot be parsed. */
    MALFORMED(ErrorKind.BAD_REQUEST),
    /** The version to roll back to is not in the history. */
    NOT_KEPT(ErrorKind.NOT_FOUND),
    /** The request id was used before with another command. */
    REQUEST_ID_REUSED(ErrorKind.BAD_REQUEST);

    private final @Nullable ErrorKind mErrorKind;

    ConfigOutcome(@Nullable ErrorKind errorKind) {
        mErrorKind = errorKind;
    }

    /** Returns the error kind for the operator, empty if the command was accepted. */
    public Optional<ErrorKind> errorKind() {
        return Optional.ofNullable(mErrorKind);
    }
}
