/** Registry of the backend servers that send heartbeats, kept by controllers and gateways. */
@NullMarked
package org.hemlockrack.registry;

import org.jspecify.annotations.NullMarked;
