/** Identifiers and small value types that several slices share. */
@NullMarked
package org.hemlockrack.model;

import org.jspecify.annotations.NullMarked;
