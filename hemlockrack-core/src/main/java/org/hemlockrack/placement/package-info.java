/**
 * Choice of backend servers for a chat, by weighted rendezvous hashing and a bounded chat table.
 */
@NullMarked
package org.hemlockrack.placement;

import org.jspecify.annotations.NullMarked;
