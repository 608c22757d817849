/** At most one run per idempotency key: replicated claims and the session that uses them. */
@NullMarked
package org.hemlockrack.claims;

import org.jspecify.annotations.NullMarked;
