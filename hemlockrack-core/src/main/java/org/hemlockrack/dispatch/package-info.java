/**
 * Selection of a backend server for one request: load balancing with prefix affinity, health
 * tracking and rate limits for cold servers.
 */
@NullMarked
package org.hemlockrack.dispatch;

import org.jspecify.annotations.NullMarked;
