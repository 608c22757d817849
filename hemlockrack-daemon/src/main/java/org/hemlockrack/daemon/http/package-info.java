/** HTTP/1.1 server and client on the HttpCore asynchronous reactor, with bounded buffers. */
@NullMarked
package org.hemlockrack.daemon.http;

import org.jspecify.annotations.NullMarked;
