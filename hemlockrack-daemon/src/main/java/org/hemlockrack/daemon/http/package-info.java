/** HTTP/1.1 servers and clients on the HttpCore async reactor, with bounded buffers. */
@NullMarked
package org.hemlockrack.daemon.http;

import org.jspecify.annotations.NullMarked;
