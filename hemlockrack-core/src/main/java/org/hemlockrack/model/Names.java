package org.hemlockrack.model;

import java.util.regex.Pattern;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** Validates names in settings, configuration and messages. */
public final class Names {
    /** Maximum length of a name; bounds the memory that names sent by a peer can occupy. */
    public static final int MAX_LENGTH_CHARS = 64;

    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@/-]*");

    private Names() {}

    /**
     * Returns whether a name is allowed.
     *
     * @param name the name
     * @return true for 1 to 64 letters, digits and {@code . _ : @ / -}, starting with a letter or
     *     digit
     */
    public static boolean isValid(String name) {
        return name.length() <= MAX_LENGTH_CHARS && VALID.matcher(name).matches();
    }

    /**
     * Checks that a name is allowed.
     *
     * @param what kind of name, for the message
     * @param name the name
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not allowed
     */
    public static void requireValid(String what, String name) {
        if (isValid(name)) {
            return;
        }
        String text =
                "%s \"%s\" is not allowed: use 1 to %d letters, digits and . _ : @ / -, starting"
                        + " with a letter or digit";
        throw HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(text, what, name, MAX_LENGTH_CHARS));
    }
}
