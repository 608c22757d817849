/** Implementation of the rollout slice. */
@NullMarked
package org.hemlockrack.rollout.internal;

import org.jspecify.annotations.NullMarked;
