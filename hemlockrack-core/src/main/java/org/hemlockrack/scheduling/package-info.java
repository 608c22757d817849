/**
 * Order of requests that wait for a free slot of a service: priority ranks, fair shares between
 * workspaces over all gateways, removal of what cannot be served in time, and retry advice. The
 * classes have no threads, clock or network; time is monotonic and passed in.
 */
@NullMarked
package org.hemlockrack.scheduling;

import org.jspecify.annotations.NullMarked;
