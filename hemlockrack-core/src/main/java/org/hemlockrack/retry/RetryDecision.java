package org.hemlockrack.retry;

import org.hemlockrack.errors.RunState;

/**
 * Decision after a failed attempt.
 *
 * @param action what to do
 * @param runState what is true of the request so far; on GIVE_UP the caller is told this
 */
public record RetryDecision(RetryAction action, RunState runState) {}
