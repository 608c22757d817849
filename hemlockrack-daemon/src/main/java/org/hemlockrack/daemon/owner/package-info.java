/**
 * The owner role of this instance. An owner holds the lease on a backend server and is the only
 * instance that admits requests to it: it handles the announcements of the server, its admission
 * queue and the dispatch of requests.
 */
@NullMarked
package org.hemlockrack.daemon.owner;

import org.jspecify.annotations.NullMarked;
