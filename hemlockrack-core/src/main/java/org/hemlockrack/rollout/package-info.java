/**
 * Roll-outs of model versions: traffic stages, comparison of the new version with the old one,
 * rollback, and fenced orders to backend servers.
 */
@NullMarked
package org.hemlockrack.rollout;

import org.jspecify.annotations.NullMarked;
