/** Named metrics and their text form. */
@NullMarked
package org.hemlockrack.daemon.metrics;

import org.jspecify.annotations.NullMarked;
