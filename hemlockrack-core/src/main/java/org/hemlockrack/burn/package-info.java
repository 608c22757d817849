/** Error budget burn rates per workspace and latency indicator, and the report on them. */
@NullMarked
package org.hemlockrack.burn;

import org.jspecify.annotations.NullMarked;
