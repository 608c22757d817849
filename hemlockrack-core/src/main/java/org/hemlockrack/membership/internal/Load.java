package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.Version;

/**
 * The load of one backend server.
 *
 * @param shortId short id of the server
 * @param version the server's incarnation and a sequence number
 * @param inFlight work in flight
 */
public record Load(long shortId, Version version, int inFlight) {}
