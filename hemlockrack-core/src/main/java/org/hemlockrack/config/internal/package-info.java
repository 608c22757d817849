/** Implementation of the configuration slice. */
@NullMarked
package org.hemlockrack.config.internal;

import org.jspecify.annotations.NullMarked;
