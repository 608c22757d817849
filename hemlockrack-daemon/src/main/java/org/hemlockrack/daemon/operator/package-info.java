/** HTTP interface for operators, and the endpoints for health checks and metrics. */
@NullMarked
package org.hemlockrack.daemon.operator;

import org.jspecify.annotations.NullMarked;
