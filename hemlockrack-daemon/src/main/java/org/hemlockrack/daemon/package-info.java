/** The daemon: one instance of the fleet, its services and their connections. */
@NullMarked
package org.hemlockrack.daemon;

import org.jspecify.annotations.NullMarked;
