package org.hemlockrack.config;

/**
 * One error in a configuration document.
 *
 * @param path key path, such as {@code workspaces.acme.priority}
 * @param found description of what the document contains at the path
 * @param allowed description of what is allowed at the path
 */
public record ValidationError(String path, String found, String allowed) {
    /** Bounds the size of results for malicious documents. */
    private static final int MAX_TEXT_CHARS = 400;

    /** Truncates long texts. */
    public ValidationError {
        path = shorten(path);
        found = shorten(found);
        allowed = shorten(allowed);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS) + "...";
    }

    @Override
    public String toString() {
        return path + ": found " + found + ", allowed: " + allowed;
    }
}
