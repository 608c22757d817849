package org.hemlockrack.model;

/**
 * Names one instance of the daemon.
 *
 * @param value the instance id, not empty
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Rejects an empty instance id. */
    public InstanceId {
        Names.requireValid("instance id", value);
    }

    /**
     * Creates an identifier.
     *
     * @param value the instance id
     * @return the identifier
     */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
