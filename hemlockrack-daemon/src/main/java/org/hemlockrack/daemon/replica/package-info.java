/** The replicated log on the voters, and clients on all instances that propose commands to it. */
@NullMarked
package org.hemlockrack.daemon.replica;

import org.jspecify.annotations.NullMarked;
