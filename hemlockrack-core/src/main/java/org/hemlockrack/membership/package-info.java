/** Instances, the backend server directory, gossip, the control budget and ownership. */
@NullMarked
package org.hemlockrack.membership;

import org.jspecify.annotations.NullMarked;
