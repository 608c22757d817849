package org.hemlockrack.http;

/** Classes of characters in the grammar; a character stands for one octet. */
enum CharClass {
    BLANK {
        @Override
        boolean contains(char c) {
            return c == ' ' || c == '\t';
        }
    },
    ZERO {
        @Override
        boolean contains(char c) {
            return c == '0';
        }
    },

    /** First digits of the statuses that HTTP defines a class for. */
    STATUS_CLASS {
        @Override
        boolean contains(char c) {
            return c >= '1' && c <= '5';
        }
    },
    DIGIT {
        @Override
        boolean contains(char c) {
            return c >= '0' && c <= '9';
        }
    },
    HEX_DIGIT {
        @Override
        boolean contains(char c) {
            return DIGIT.contains(c) || c >= 'A' && c <= 'F' || c >= 'a' && c <= 'f';
        }
    },
    TOKEN {
        @Override
        boolean contains(char c) {
            return DIGIT.contains(c)
                    || c >= 'A' && c <= 'Z'
                    || c >= 'a' && c <= 'z'
                    || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
        }
    },

    /** Blanks, visible characters and octets above 127. */
    TEXT {
        @Override
        boolean contains(char c) {
            return BLANK.contains(c) || c > ' ' && c != DELETE;
        }
    },

    /** Text within double quotes that needs no backslash. */
    QUOTED_TEXT {
        @Override
        boolean contains(char c) {
            return TEXT.contains(c) && c != '"' && c != '\\';
        }
    };

    private static final char DELETE = 127;

    abstract boolean contains(char c);
}
