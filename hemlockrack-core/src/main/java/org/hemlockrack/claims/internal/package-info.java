/** Implementation of the claims slice. */
@NullMarked
package org.hemlockrack.claims.internal;

import org.jspecify.annotations.NullMarked;
