/** Encoding of the Thrift structs that several slices keep in the replicated log. */
@NullMarked
package org.hemlockrack.codec;

import org.jspecify.annotations.NullMarked;
