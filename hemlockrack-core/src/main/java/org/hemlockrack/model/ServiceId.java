package org.hemlockrack.model;

/**
 * Identifies a service: a set of backend servers that answer the same requests.
 *
 * @param value the service name; see {@link Names#isValid}
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Rejects a service name that is not allowed. */
    public ServiceId {
        Names.requireValid("service name", value);
    }

    /**
     * Creates an identifier.
     *
     * @param value the service name
     * @return the identifier
     */
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
