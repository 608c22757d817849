/**
 * Roll-outs on one instance: traffic shares, evidence about new versions, orders to backend
 * servers, and on the leader the roll-out controller.
 */
@NullMarked
package org.hemlockrack.daemon.rollout;

import org.jspecify.annotations.NullMarked;
