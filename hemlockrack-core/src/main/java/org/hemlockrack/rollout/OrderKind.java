package org.hemlockrack.rollout;

/** What an order does with a model version. */
public enum OrderKind {
    LOAD,
    UNLOAD
}
