/** Ownership lease, limits and queue behind {@link org.hemlockrack.admission.Admission}. */
@NullMarked
package org.hemlockrack.admission.internal;

import org.jspecify.annotations.NullMarked;
