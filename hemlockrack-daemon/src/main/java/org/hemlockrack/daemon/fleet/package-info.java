/** This instance's place in the fleet: membership, owners and messages to other instances. */
@NullMarked
package org.hemlockrack.daemon.fleet;

import org.jspecify.annotations.NullMarked;
