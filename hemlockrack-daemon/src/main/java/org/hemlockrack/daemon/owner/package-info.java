/** Work of this instance as owner of backend servers: announcements, admission, dispatch. */
@NullMarked
package org.hemlockrack.daemon.owner;

import org.jspecify.annotations.NullMarked;
