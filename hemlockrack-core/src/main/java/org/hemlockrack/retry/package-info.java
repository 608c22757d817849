/** Retry budgets, and the policy that decides which failures are retried. */
@NullMarked
package org.hemlockrack.retry;

import org.jspecify.annotations.NullMarked;
