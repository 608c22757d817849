package org.hemlockrack.model;

/**
 * Identifies an availability zone.
 *
 * @param value the zone name; see {@link Names#isValid}
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
    /** Rejects a zone name that is not allowed. */
    public ZoneId {
        Names.requireValid("zone name", value);
    }

    /**
     * Creates an identifier.
     *
     * @param value the zone name
     * @return the identifier
     */
    public static ZoneId of(String value) {
        return new ZoneId(value);
    }

    @Override
    public int compareTo(ZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
