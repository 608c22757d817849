/** Identity and completeness checks of answers, and recovery of broken ones. */
@NullMarked
package org.hemlockrack.answers;

import org.jspecify.annotations.NullMarked;
