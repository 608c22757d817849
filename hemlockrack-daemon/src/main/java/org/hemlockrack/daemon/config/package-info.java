/** The configuration in force on this instance. */
@NullMarked
package org.hemlockrack.daemon.config;

import org.jspecify.annotations.NullMarked;
