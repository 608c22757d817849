/** Implementation of {@link org.hemlockrack.membership}. */
@NullMarked
package org.hemlockrack.membership.internal;

import org.jspecify.annotations.NullMarked;
