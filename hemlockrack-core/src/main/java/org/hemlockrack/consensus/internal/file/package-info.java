/** Log storage in files; the only package of the core module that does I/O. */
@NullMarked
package org.hemlockrack.consensus.internal.file;

import org.jspecify.annotations.NullMarked;
