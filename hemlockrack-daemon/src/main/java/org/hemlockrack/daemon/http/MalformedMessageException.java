package org.hemlockrack.daemon.http;

import java.io.IOException;
import org.hemlockrack.http.SyntaxViolation;

/** A message violates the syntax of HTTP, so nothing that it says can be relied on. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedMessageException(SyntaxViolation violation) {
        super("malformed message: " + violation);
    }
}
