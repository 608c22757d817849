/** Routing of requests to services by an immutable table that is replaced as a whole. */
@NullMarked
package org.hemlockrack.routing;

import org.jspecify.annotations.NullMarked;
