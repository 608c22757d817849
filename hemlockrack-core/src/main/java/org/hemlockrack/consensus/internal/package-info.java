/** Implementation of the replicated log. */
@NullMarked
package org.hemlockrack.consensus.internal;

import org.jspecify.annotations.NullMarked;
