/** Routes of callers' requests to services: an immutable table that is published as a whole. */
@NullMarked
package org.hemlockrack.routing;

import org.jspecify.annotations.NullMarked;
