/**
 * Fleet membership by gossip: instances, the directory of backend servers, their ownership, and the
 * budget for control traffic.
 */
@NullMarked
package org.hemlockrack.membership;

import org.jspecify.annotations.NullMarked;
