/** Log output: numbered events as text or JSON lines, limited when one event floods. */
@NullMarked
package org.hemlockrack.daemon.log;

import org.jspecify.annotations.NullMarked;
