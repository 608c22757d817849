package org.hemlockrack.rollout;

/** What a backend server is told to do with a version. */
public enum OrderKind {
    LOAD,
    UNLOAD
}
