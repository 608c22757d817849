/** Exchange of server registry, loads and control state between gateways and controllers. */
@NullMarked
package org.hemlockrack.daemon.sync;

import org.jspecify.annotations.NullMarked;
