package org.hemlockrack.answers;

/**
 * One header field.
 *
 * @param name the name; compared without case
 * @param value the value
 */
public record Header(String name, String value) {
    /**
     * Returns whether the field has a name.
     *
     * @param other the name
     * @return true if the names are equal but for case
     */
    public boolean isNamed(String other) {
        return name.equalsIgnoreCase(other);
    }
}
