/** Metrics of an instance and their Prometheus text format. */
@NullMarked
package org.hemlockrack.daemon.metrics;

import org.jspecify.annotations.NullMarked;
