package org.hemlockrack.http;

import java.io.IOException;

/** A message violates the syntax of HTTP, so nothing that it says can be relied on. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    private MalformedMessageException(SyntaxViolation violation) {
        super("malformed message: " + violation);
    }

    /** Creates an exception whose text names the violation. */
    public static MalformedMessageException of(SyntaxViolation violation) {
        return new MalformedMessageException(violation);
    }
}
