/** Lease, limit, queue and bound behind {@link org.hemlockrack.admission.Admission}. */
@NullMarked
package org.hemlockrack.admission.internal;

import org.jspecify.annotations.NullMarked;
