/** Implementation of the burn package. */
@NullMarked
package org.hemlockrack.burn.internal;

import org.jspecify.annotations.NullMarked;
