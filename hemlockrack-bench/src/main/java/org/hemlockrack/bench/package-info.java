/** The bench module. */
@NullMarked
package org.hemlockrack.bench;

import org.jspecify.annotations.NullMarked;
