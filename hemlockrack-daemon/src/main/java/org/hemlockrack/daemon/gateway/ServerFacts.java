package org.hemlockrack.daemon.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a backend server's answer says.
 *
 * @param attemptId id of the request that it answers, or null
 * @param signed whether the server vouches for the answer
 * @param refused whether the server states that it has not run the request and never will
 * @param misdirected whether the server is another one than the request was meant for
 */
public record ServerFacts(
        @Nullable String attemptId, boolean signed, boolean refused, boolean misdirected) {}
