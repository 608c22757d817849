/** The testing module. */
@NullMarked
package org.hemlockrack.testing;

import org.jspecify.annotations.NullMarked;
