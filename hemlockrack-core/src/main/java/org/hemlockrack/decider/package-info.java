/** The interface through which every event-driven slice is driven. */
@NullMarked
package org.hemlockrack.decider;

import org.jspecify.annotations.NullMarked;
