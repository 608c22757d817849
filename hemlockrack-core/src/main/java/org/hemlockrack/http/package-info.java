/** Syntax of HTTP/1.1 messages, without input or output. */
@NullMarked
package org.hemlockrack.http;

import org.jspecify.annotations.NullMarked;
