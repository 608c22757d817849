/** The replicated log in files; the only package of the core that does I/O. */
@NullMarked
package org.hemlockrack.consensus.internal.file;

import org.jspecify.annotations.NullMarked;
