/** Implementation of the configuration: parsing, validation, patches and history. */
@NullMarked
package org.hemlockrack.config.internal;

import org.jspecify.annotations.NullMarked;
