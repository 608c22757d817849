/**
 * Backend servers that register themselves by heartbeats, as controllers and gateways know them.
 */
@NullMarked
package org.hemlockrack.registry;

import org.jspecify.annotations.NullMarked;
