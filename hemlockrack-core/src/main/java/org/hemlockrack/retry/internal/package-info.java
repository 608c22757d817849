/** Token bucket implementation of the retry budget. */
@NullMarked
package org.hemlockrack.retry.internal;

import org.jspecify.annotations.NullMarked;
