/** Operators' HTTP interface and the platform's health endpoints. */
@NullMarked
package org.hemlockrack.daemon.operator;

import org.jspecify.annotations.NullMarked;
