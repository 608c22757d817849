/** Benchmarks of the decision code, in simulations and with a local fleet of processes. */
@NullMarked
package org.hemlockrack.bench;

import org.jspecify.annotations.NullMarked;
