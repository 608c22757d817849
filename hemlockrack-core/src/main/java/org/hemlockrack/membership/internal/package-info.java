/** Implementation of the membership slice. */
@NullMarked
package org.hemlockrack.membership.internal;

import org.jspecify.annotations.NullMarked;
