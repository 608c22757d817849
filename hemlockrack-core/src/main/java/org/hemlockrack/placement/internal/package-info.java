/** Chat table, ranking and per-server cache state behind the placement API. */
@NullMarked
package org.hemlockrack.placement.internal;

import org.jspecify.annotations.NullMarked;
