/** Runs deciders on single-threaded event loops with a monotonic clock. */
@NullMarked
package org.hemlockrack.daemon.loop;

import org.jspecify.annotations.NullMarked;
