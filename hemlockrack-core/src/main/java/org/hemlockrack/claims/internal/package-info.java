/** Implementation of the claims package. */
@NullMarked
package org.hemlockrack.claims.internal;

import org.jspecify.annotations.NullMarked;
