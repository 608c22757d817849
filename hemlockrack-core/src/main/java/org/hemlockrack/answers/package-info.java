/** Checks that answers belong to their request and are complete, and recovers broken ones. */
@NullMarked
package org.hemlockrack.answers;

import org.jspecify.annotations.NullMarked;
