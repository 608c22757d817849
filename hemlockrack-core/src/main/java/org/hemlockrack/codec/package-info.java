/** Encoding of Thrift structs, for the replicated log and for messages between instances. */
@NullMarked
package org.hemlockrack.codec;

import org.jspecify.annotations.NullMarked;
