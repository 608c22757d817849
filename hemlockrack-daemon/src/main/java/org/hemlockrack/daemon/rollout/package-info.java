/** Roll-outs on one instance: shares, evidence, orders, and the controller on the leader. */
@NullMarked
package org.hemlockrack.daemon.rollout;

import org.jspecify.annotations.NullMarked;
