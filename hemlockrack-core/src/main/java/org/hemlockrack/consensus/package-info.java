/** Raft consensus: the replicated log of the voters, its storage and changes of its members. */
@NullMarked
package org.hemlockrack.consensus;

import org.jspecify.annotations.NullMarked;
