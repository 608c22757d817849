/** Admission of all work for one backend server by the one instance that owns it. */
@NullMarked
package org.hemlockrack.admission;

import org.jspecify.annotations.NullMarked;
