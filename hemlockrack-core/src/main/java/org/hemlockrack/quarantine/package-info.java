/**
 * Finds parts of prompts that crash the backend servers that answer on them, and holds back the
 * requests that contain one. Free of network and clock.
 */
@NullMarked
package org.hemlockrack.quarantine;

import org.jspecify.annotations.NullMarked;
