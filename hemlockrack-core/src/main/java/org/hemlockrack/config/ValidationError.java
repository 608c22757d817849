package org.hemlockrack.config;

/**
 * One fault of a document or patch.
 *
 * @param path key path, such as {@code workspaces.acme.priority}
 * @param found what the document holds there
 * @param allowed what is allowed there
 */
public record ValidationError(String path, String found, String allowed) {
    /** Bounds what a hostile document can make a result hold. */
    private static final int MAX_TEXT_CHARS = 400;

    /** Shortens texts that are too long to be of use. */
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
