/** Implementation of the Raft protocol and of its wire encoding. */
@NullMarked
package org.hemlockrack.consensus.internal;

import org.jspecify.annotations.NullMarked;
