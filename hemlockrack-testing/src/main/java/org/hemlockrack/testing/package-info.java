/** Simulated backend servers, and tools to start and disturb a fleet of real processes in tests. */
@NullMarked
package org.hemlockrack.testing;

import org.jspecify.annotations.NullMarked;
