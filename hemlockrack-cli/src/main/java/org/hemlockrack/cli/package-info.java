/** The {@code hemlockrack} command-line tool: one class for each command. */
@NullMarked
package org.hemlockrack.cli;

import org.jspecify.annotations.NullMarked;
