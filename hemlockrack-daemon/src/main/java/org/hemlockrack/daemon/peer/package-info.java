/** Thrift transport between instances. */
@NullMarked
package org.hemlockrack.daemon.peer;

import org.jspecify.annotations.NullMarked;
