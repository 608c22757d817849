/** Stand-ins for outside systems and tools for tests on real processes. */
@NullMarked
package org.hemlockrack.testing;

import org.jspecify.annotations.NullMarked;
