/**
 * Adaptive concurrency limits: how many requests each backend server sustains, and how fast it is,
 * learned from its answers and its load reports.
 */
@NullMarked
package org.hemlockrack.capacity;

import org.jspecify.annotations.NullMarked;
