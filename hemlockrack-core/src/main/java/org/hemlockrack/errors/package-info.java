/** The kinds of errors, the exception that carries one, and the message texts. */
@NullMarked
package org.hemlockrack.errors;

import org.jspecify.annotations.NullMarked;
