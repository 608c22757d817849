package org.hemlockrack.model;

/**
 * Names one backend server.
 *
 * @param value the backend server id, not empty
 */
public record BackendId(String value) implements Comparable<BackendId> {
    /** Rejects an empty backend server id. */
    public BackendId {
        Names.requireValid("backend server id", value);
    }

    /**
     * Creates an identifier.
     *
     * @param value the backend server id
     * @return the identifier
     */
    public static BackendId of(String value) {
        return new BackendId(value);
    }

    @Override
    public int compareTo(BackendId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
