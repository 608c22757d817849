package org.hemlockrack.answers;

/**
 * One HTTP header field.
 *
 * @param name the name, case-insensitive
 * @param value the value
 */
public record Header(String name, String value) {
    /**
     * Returns whether the field has the given name, ignoring case.
     *
     * @param other the name
     * @return true if the names are equal
     */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }
}
