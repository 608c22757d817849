/**
 * Duties of which one controller at a time is the holder: calls to the platform that must not be
 * made by two machines, and the counts that they report. Time is passed in; nothing here uses the
 * network or threads.
 */
@NullMarked
package org.hemlockrack.duties;

import org.jspecify.annotations.NullMarked;
