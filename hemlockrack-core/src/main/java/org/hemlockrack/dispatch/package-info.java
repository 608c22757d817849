/** Choice of a backend server for one request, and the limits that bound it. */
@NullMarked
package org.hemlockrack.dispatch;

import org.jspecify.annotations.NullMarked;
