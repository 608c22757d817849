package org.hemlockrack.config;

/**
 * One fault of a document or patch.
 *
 * @param path key path, such as {@code workspaces.acme.priority}
 * @param found what the document holds there
 * @param allowed what is allowed there
 */
public record Fault(String path, String found, String allowed) {
    @Override
    public String toString() {
        return path + ": found " + found + ", allowed: " + allowed;
    }
}
