/** The versioned configuration: document, patches, replicated state, copies and propagation. */
@NullMarked
package org.hemlockrack.config;

import org.jspecify.annotations.NullMarked;
