package org.hemlockrack.model;

/**
 * Identifies an instance of the daemon.
 *
 * @param value the instance id; see {@link Names#isValid}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Rejects an instance id that is not allowed. */
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
