/** Error budget burn of one instance, stored on disk, and the report of the whole fleet. */
@NullMarked
package org.hemlockrack.daemon.burn;

import org.jspecify.annotations.NullMarked;
