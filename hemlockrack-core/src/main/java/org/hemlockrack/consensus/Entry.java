package org.hemlockrack.consensus;

/**
 * One entry of the log. Index and term identify it.
 *
 * @param index position, from 1
 * @param term term of the leader that appended it
 * @param kind how to interpret the data
 * @param leaderTimeMillis wall-clock time stamped by the leader, non-decreasing along the log
 * @param data the command or the encoded membership; not copied
 */
public record Entry(long index, long term, EntryKind kind, long leaderTimeMillis, byte[] data) {
    /** Returns the approximate encoded size, which counts for batch and pending limits. */
    public int sizeBytes() {
        return data.length + 32;
    }
}
