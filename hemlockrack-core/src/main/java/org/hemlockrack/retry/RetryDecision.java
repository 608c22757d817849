package org.hemlockrack.retry;

import org.hemlockrack.errors.RunState;

/**
 * What to do after a failed attempt.
 *
 * @param action the action
 * @param runState whether the request took effect so far; on GIVE_UP it is reported to the caller
 */
public record RetryDecision(RetryAction action, RunState runState) {}
