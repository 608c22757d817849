/** Mutual TLS between the processes of the fleet: keys, trusted certificates and reloading. */
@NullMarked
package org.hemlockrack.daemon.tls;

import org.jspecify.annotations.NullMarked;
