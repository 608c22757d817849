/** Callers' requests: authentication, placement, forwarding to owners, answers. */
@NullMarked
package org.hemlockrack.daemon.entry;

import org.jspecify.annotations.NullMarked;
