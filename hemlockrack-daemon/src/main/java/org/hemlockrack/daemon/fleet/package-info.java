/** Membership of this instance in the fleet, ownership of backend servers and peer messages. */
@NullMarked
package org.hemlockrack.daemon.fleet;

import org.jspecify.annotations.NullMarked;
