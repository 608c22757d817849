/** Limits that all instances of a fleet share, independent of their number. */
@NullMarked
package org.hemlockrack.limits;

import org.jspecify.annotations.NullMarked;
