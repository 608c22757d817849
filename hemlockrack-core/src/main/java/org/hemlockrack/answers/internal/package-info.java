/** Server-sent event parsing and body framing behind the answer tracker. */
@NullMarked
package org.hemlockrack.answers.internal;

import org.jspecify.annotations.NullMarked;
