/** Service-level burn accounting per workspace and promise, and the report on it. */
@NullMarked
package org.hemlockrack.burn;

import org.jspecify.annotations.NullMarked;
