package org.hemlockrack.config;

import java.util.Locale;

/** Kind of a service. */
public enum ServiceKind {
    /** Chat completions by model engines. */
    MODEL,
    /** Any other HTTP service. */
    PLAIN;

    /** Returns the value of the kind in configuration documents. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
