/** The daemon module. */
@NullMarked
package org.hemlockrack.daemon;

import org.jspecify.annotations.NullMarked;
