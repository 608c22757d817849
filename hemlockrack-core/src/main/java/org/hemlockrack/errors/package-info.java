/** The closed list of error kinds, the exception that carries one, and all message texts. */
@NullMarked
package org.hemlockrack.errors;

import org.jspecify.annotations.NullMarked;
