package org.hemlockrack.config;

/**
 * Configuration of one availability zone.
 *
 * @param region region of the zone
 * @param inService false while the operators have taken the zone out of service
 */
public record ZoneConfig(String region, boolean inService) {}
