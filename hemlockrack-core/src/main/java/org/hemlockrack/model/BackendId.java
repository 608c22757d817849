package org.hemlockrack.model;

/**
 * Identifies a backend server.
 *
 * @param value the backend server id; see {@link Names#isValid}
 */
public record BackendId(String value) implements Comparable<BackendId> {
    /** Rejects a backend server id that is not allowed. */
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
