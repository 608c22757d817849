/** The interface of the event-driven state machines, which do no I/O of their own. */
@NullMarked
package org.hemlockrack.decider;

import org.jspecify.annotations.NullMarked;
