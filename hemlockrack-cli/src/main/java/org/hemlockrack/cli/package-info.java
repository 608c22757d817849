/** The cli module. */
@NullMarked
package org.hemlockrack.cli;

import org.jspecify.annotations.NullMarked;
