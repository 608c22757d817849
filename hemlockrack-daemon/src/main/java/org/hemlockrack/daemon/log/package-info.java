/** Log output: the process log with a rate limit for each event, and the decision log. */
@NullMarked
package org.hemlockrack.daemon.log;

import org.jspecify.annotations.NullMarked;
