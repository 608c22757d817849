/** Service-level burn of one instance, kept on disk, and the fleet's report. */
@NullMarked
package org.hemlockrack.daemon.burn;

import org.jspecify.annotations.NullMarked;
