package org.hemlockrack.consensus;

/**
 * Describes a snapshot.
 *
 * @param index last log index that the snapshot covers
 * @param term term of that entry
 * @param leaderTimeMillis time stamp of that entry
 * @param membership members at that index
 * @param sizeBytes size of the state in bytes
 * @param crc32c checksum of the state
 */
public record SnapshotMeta(
        long index,
        long term,
        long leaderTimeMillis,
        Membership membership,
        long sizeBytes,
        int crc32c) {}
