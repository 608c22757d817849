/** Soak tests: gateways and controllers as processes under load and randomly injected faults. */
@NullMarked
package org.hemlockrack.soak;

import org.jspecify.annotations.NullMarked;
