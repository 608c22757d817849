/** Replicated state of the controllers: route table, evacuated zones, departures, traffic moves. */
@NullMarked
package org.hemlockrack.control;

import org.jspecify.annotations.NullMarked;
