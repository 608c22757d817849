/** The replicated log on voters, and proposals to it from every instance. */
@NullMarked
package org.hemlockrack.daemon.replica;

import org.jspecify.annotations.NullMarked;
