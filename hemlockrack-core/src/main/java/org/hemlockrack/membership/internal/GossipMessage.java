package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.wire.GossipKind;

/**
 * A decoded gossip message.
 *
 * @param kind kind of the message
 * @param sequence pairs an ACK with its PING
 * @param subjectId short id of the member that a PING_REQUEST is about
 * @param rootDigest root digest of the sender's entries, 0 if not included
 * @param members updates about members
 * @param backends entries of backend servers
 * @param loads loads of backend servers
 * @param facts facts
 * @param buckets bucket digests, or bucket numbers in ENTRIES
 * @param entries entry versions that the sender holds
 * @param requestedIds short ids of entries that the sender requests
 */
public record GossipMessage(
        GossipKind kind,
        long sequence,
        long subjectId,
        long rootDigest,
        List<MemberUpdate> members,
        List<Backend> backends,
        List<BackendLoad> loads,
        List<Fact> facts,
        List<Integer> buckets,
        List<VersionedKey> entries,
        List<Long> requestedIds) {
    /** Returns an empty message with modifiable lists. */
    static GossipMessage create(GossipKind kind, long sequence, long subjectId, long rootDigest) {
        return new GossipMessage(
                kind,
                sequence,
                subjectId,
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
