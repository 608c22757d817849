package org.hemlockrack.http;

/**
 * Where a message violates the syntax. Holds no bytes of the message, so that it can be logged.
 *
 * @param rule the rule
 * @param line number of the line in its head or chunked body, from 1; 0 for the head as a whole
 * @param column column in the line, from 1; 0 for the line as a whole
 */
public record SyntaxViolation(SyntaxRule rule, int line, int column) {
    /** Returns a violation by the fields of a head together. */
    public static SyntaxViolation ofHead(SyntaxRule rule) {
        return new SyntaxViolation(rule, 0, 0);
    }

    /** Returns this violation with another line number. */
    SyntaxViolation atLine(int number) {
        return new SyntaxViolation(rule, number, column);
    }

    @Override
    public String toString() {
        return line == 0
                ? rule.toString()
                : String.format("%s at line %d, column %d", rule, line, column);
    }
}
