/** Implementation of the burn slice. */
@NullMarked
package org.hemlockrack.burn.internal;

import org.jspecify.annotations.NullMarked;
