/**
 * At-most-once execution of non-idempotent commands: claims on idempotency keys, replicated by the
 * voters, and the state machine that drives one command through its claim.
 */
@NullMarked
package org.hemlockrack.claims;

import org.jspecify.annotations.NullMarked;
