/** Numbered log events. */
@NullMarked
package org.hemlockrack.events;

import org.jspecify.annotations.NullMarked;
