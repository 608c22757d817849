package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.wire.GossipKind;

/**
 * One decoded message.
 *
 * @param kind what the receiver has to do
 * @param sequence pairs an ACK with its PING
 * @param subject short id of the member that a PING_REQUEST is about
 * @param rootDigest root digest of the sender's entries, 0 if not stated
 * @param members news about members
 * @param backends news about backend servers
 * @param loads loads of backend servers
 * @param facts facts
 * @param buckets bucket digests, or bucket numbers in ENTRIES
 * @param entries versions that the sender holds
 * @param wants short ids of entries that the sender lacks
 */
public record Message(
        GossipKind kind,
        long sequence,
        long subject,
        long rootDigest,
        List<News> members,
        List<Backend> backends,
        List<Load> loads,
        List<Fact> facts,
        List<Integer> buckets,
        List<EntryKey> entries,
        List<Long> wants) {
    /** Returns an empty message with modifiable lists. */
    static Message create(GossipKind kind, long sequence, long subject, long rootDigest) {
        return new Message(
                kind,
                sequence,
                subject,
                rootDigest,
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>());
    }
}
