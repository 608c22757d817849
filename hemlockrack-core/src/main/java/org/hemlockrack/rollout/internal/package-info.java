/** Implementation of {@link org.hemlockrack.rollout}. */
@NullMarked
package org.hemlockrack.rollout.internal;

import org.jspecify.annotations.NullMarked;
