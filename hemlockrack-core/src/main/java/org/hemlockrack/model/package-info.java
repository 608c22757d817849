/** Identifiers and small value types shared by several packages. */
@NullMarked
package org.hemlockrack.model;

import org.jspecify.annotations.NullMarked;
