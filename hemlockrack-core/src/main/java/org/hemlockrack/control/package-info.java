/**
 * Replicated state of the controllers: route table, evacuated zones, departed backend servers and
 * traffic moves between software versions.
 */
@NullMarked
package org.hemlockrack.control;

import org.jspecify.annotations.NullMarked;
