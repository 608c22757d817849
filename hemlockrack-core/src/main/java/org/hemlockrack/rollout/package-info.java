/** Versions of a model: stages, evidence, rollback, fenced orders. */
@NullMarked
package org.hemlockrack.rollout;

import org.jspecify.annotations.NullMarked;
