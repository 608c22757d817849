/**
 * Admission control for backend servers: the one instance that holds the lease of a server admits
 * all its requests.
 */
@NullMarked
package org.hemlockrack.admission;

import org.jspecify.annotations.NullMarked;
