/** The replicated log of the voters. */
@NullMarked
package org.hemlockrack.consensus;

import org.jspecify.annotations.NullMarked;
