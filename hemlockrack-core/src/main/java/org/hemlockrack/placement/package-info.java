/**
 * Selection of backend servers for a chat by weighted rendezvous hashing and a bounded table of the
 * servers that recently served each chat.
 */
@NullMarked
package org.hemlockrack.placement;

import org.jspecify.annotations.NullMarked;
