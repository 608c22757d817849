/** The controller: keeps the replicated control state and the registry of backend servers. */
@NullMarked
package org.hemlockrack.daemon.controller;

import org.jspecify.annotations.NullMarked;
