package org.hemlockrack.consensus.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.hemlockrack.codec.BoundedProtocol;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.WireEntry;
import org.hemlockrack.wire.WireMember;
import org.hemlockrack.wire.WireMembership;
import org.hemlockrack.wire.WirePacket;
import org.hemlockrack.wire.WireReplica;
import org.hemlockrack.wire.WireSnapshotMeta;

/** Converts between records and Thrift structs in the compact protocol. */
public final class WireCodec {
    private WireCodec() {}

    /**
     * Encodes a packet.
     *
     * @param packet the packet
     * @return the bytes
     */
    public static byte[] encodePacket(Packet packet) {
        WirePacket wire =
                new WirePacket(
                        replica(packet.from()),
                        replica(packet.to()),
                        packet.clusterId(),
                        packet.term(),
                        MessageCodec.encode(packet.body()));
        return encode(wire);
    }

    /**
     * Decodes a packet.
     *
     * @param bytes the bytes
     * @return the packet
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static Packet decodePacket(byte[] bytes) {
        WirePacket wire = decode(bytes, new WirePacket());
        require(wire.getTerm() >= 0, "term");
        ReplicaRef from = replica(wire.getSender());
        require(from.replicaId() != ReplicaRef.ANY, "sender");
        return new Packet(
                from,
                replica(wire.getTarget()),
                wire.getClusterId(),
                wire.getTerm(),
                MessageCodec.decode(wire.getBody(), wire.getTerm()));
    }

    /**
     * Encodes a membership as the data of an entry.
     *
     * @param membership the membership
     * @return the bytes
     */
    public static byte[] encodeMembership(Membership membership) {
        return encode(membership(membership));
    }

    /**
     * Decodes the data of a membership entry.
     *
     * @param bytes the bytes
     * @return the membership
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static Membership decodeMembership(byte[] bytes) {
        return membership(decode(bytes, new WireMembership()));
    }

    /**
     * Encodes an entry.
     *
     * @param entry the entry
     * @return the bytes
     */
    public static byte[] encodeEntry(Entry entry) {
        return encode(entry(entry));
    }

    /**
     * Decodes an entry.
     *
     * @param bytes the bytes
     * @return the entry
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static Entry decodeEntry(byte[] bytes) {
        return entry(decode(bytes, new WireEntry()));
    }

    /**
     * Converts a snapshot description.
     *
     * @param meta the description
     * @return the struct
     */
    public static WireSnapshotMeta snapshot(SnapshotMeta meta) {
        return new WireSnapshotMeta(
                meta.index(),
                meta.term(),
                meta.leaderTimeMillis(),
                membership(meta.membership()),
                meta.sizeBytes(),
                meta.crc32c());
    }

    /**
     * Converts a snapshot description.
     *
     * @param wire the struct
     * @return the description
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if values are out of range
     */
    public static SnapshotMeta snapshot(WireSnapshotMeta wire) {
        require(wire.getIndex() > 0 && wire.getTerm() > 0, "snapshot index");
        require(wire.getSizeBytes() >= 0, "snapshot size");
        require(wire.getSizeBytes() <= Integer.MAX_VALUE - 64, "snapshot size");
        return new SnapshotMeta(
                wire.getIndex(),
                wire.getTerm(),
                wire.getLeaderTimeMillis(),
                membership(wire.getMembership()),
                wire.getSizeBytes(),
                wire.getCrc32c());
    }

    /**
     * Encodes a struct.
     *
     * @param struct the struct
     * @return the bytes
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, ErrorText.WIRE_ENCODING, e);
        }
    }

    /**
     * Decodes a struct; trailing bytes are an error.
     *
     * @param bytes the bytes
     * @param struct receives the values
     * @return the struct
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T struct) {
        require(bytes.length <= ConsensusCodec.MAX_PACKET_BYTES, "size");
        try {
            TConfiguration limits =
                    TConfiguration.custom()
                            .setMaxMessageSize(ConsensusCodec.MAX_PACKET_BYTES)
                            .setRecursionLimit(16)
                            .build();
            TMemoryInputTransport transport = new TMemoryInputTransport(limits, bytes);
            try (BoundedProtocol protocol =
                    BoundedProtocol.of(transport, ParseMemory.ofProcess())) {
                struct.read(protocol);
            }
            require(transport.getBytesRemainingInBuffer() == 0, "trailing bytes");
            return struct;
        } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, String.format(ErrorText.WIRE_MALFORMED, "struct"), e);
        } catch (NullPointerException | NegativeArraySizeException e) {
            // Generated code throws these for unknown union fields and negative sizes.
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, String.format(ErrorText.WIRE_MALFORMED, "field"), e);
        }
    }

    static void require(boolean valid, String what) {
        if (!valid) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, String.format(ErrorText.WIRE_MALFORMED, what));
        }
    }

    static WireEntry entry(Entry entry) {
        return new WireEntry(
                entry.index(),
                entry.term(),
                entry.kind().ordinal(),
                entry.leaderTimeMillis(),
                ByteBuffer.wrap(entry.data()));
    }

    static Entry entry(WireEntry wire) {
        require(wire.getIndex() > 0 && wire.getTerm() > 0, "entry index");
        require(wire.getKind() >= 0 && wire.getKind() < EntryKind.values().length, "entry kind");
        byte[] data = wire.getData();
        require(data.length <= ConsensusCodec.MAX_COMMAND_BYTES, "entry size");
        EntryKind kind = EntryKind.values()[wire.getKind()];
        if (kind == EntryKind.MEMBERSHIP) {
            decodeMembership(data);
        }
        return new Entry(wire.getIndex(), wire.getTerm(), kind, wire.getLeaderTimeMillis(), data);
    }

    private static WireReplica replica(ReplicaRef replica) {
        return new WireReplica(replica.instance().value(), replica.replicaId());
    }

    private static ReplicaRef replica(WireReplica wire) {
        return ReplicaRef.of(InstanceId.of(wire.getInstance()), wire.getReplicaId());
    }

    private static WireMembership membership(Membership membership) {
        List<WireMember> members = new ArrayList<>();
        for (Member member : membership.members()) {
            members.add(new WireMember(replica(member.replica()), member.kind().ordinal()));
        }
        return new WireMembership(membership.clusterId(), members);
    }

    private static Membership membership(WireMembership wire) {
        require(wire.getMembers().size() <= Membership.MAX_MEMBERS, "number of members");
        List<Member> members = new ArrayList<>();
        for (WireMember member : wire.getMembers()) {
            int standing = member.getStanding();
            require(standing >= 0 && standing < MemberKind.values().length, "standing");
            members.add(new Member(replica(member.getReplica()), MemberKind.values()[standing]));
        }
        return new Membership(wire.getClusterId(), members);
    }
}
