/** The retry budget and the rules for which failures may be retried. */
@NullMarked
package org.hemlockrack.retry;

import org.jspecify.annotations.NullMarked;
