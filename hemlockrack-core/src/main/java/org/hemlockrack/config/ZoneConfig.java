package org.hemlockrack.config;

/**
 * One availability zone.
 *
 * @param region region of the zone
 * @param takesWork false while operators have taken the zone out of service
 */
public record ZoneConfig(String region, boolean takesWork) {}
