/** Bounded logs that other instances read page by page. */
@NullMarked
package org.hemlockrack.paging;

import org.jspecify.annotations.NullMarked;
