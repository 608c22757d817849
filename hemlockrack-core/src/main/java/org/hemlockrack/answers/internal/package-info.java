/** Server-sent event parsing and HTTP body framing of the answer tracker. */
@NullMarked
package org.hemlockrack.answers.internal;

import org.jspecify.annotations.NullMarked;
