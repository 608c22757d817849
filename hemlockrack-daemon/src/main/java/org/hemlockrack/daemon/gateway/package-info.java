/** The gateway: accepts callers' requests and forwards them to registered backend servers. */
@NullMarked
package org.hemlockrack.daemon.gateway;

import org.jspecify.annotations.NullMarked;
