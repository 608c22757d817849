package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.Version;

/**
 * Published load of one backend server.
 *
 * @param shortId short id of the server
 * @param version the server's incarnation and a sequence number
 * @param inFlight number of requests in flight
 */
public record BackendLoad(long shortId, Version version, int inFlight) {}
