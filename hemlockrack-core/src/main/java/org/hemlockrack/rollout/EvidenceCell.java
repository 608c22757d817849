package org.hemlockrack.rollout;

/**
 * Requests of one route at one load level.
 *
 * @param route the route
 * @param level load level of the backend server
 * @param newer requests that the new version got
 * @param older requests that the old version got
 */
public record EvidenceCell(
        TrafficSegment route, LoadLevel level, VersionStats newer, VersionStats older) {}
