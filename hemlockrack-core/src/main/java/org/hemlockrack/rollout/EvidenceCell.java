package org.hemlockrack.rollout;

/**
 * Request statistics of both versions for one traffic segment at one load level.
 *
 * @param segment the traffic segment
 * @param level load level of the backend server
 * @param newer statistics of the new version
 * @param older statistics of the old version
 */
public record EvidenceCell(
        TrafficSegment segment, LoadLevel level, VersionStats newer, VersionStats older) {}
