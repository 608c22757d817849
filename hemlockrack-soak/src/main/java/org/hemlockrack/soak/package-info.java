/** Randomized runs of real gateways and controllers under faults from outside. */
@NullMarked
package org.hemlockrack.soak;

import org.jspecify.annotations.NullMarked;
