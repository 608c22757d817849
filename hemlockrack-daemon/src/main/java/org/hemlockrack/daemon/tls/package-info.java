/** Keys and trust for TLS between processes. */
@NullMarked
package org.hemlockrack.daemon.tls;

import org.jspecify.annotations.NullMarked;
