package org.hemlockrack.consensus;

import org.hemlockrack.consensus.internal.WireCodec;

/** Encodes packets as Thrift structs in the compact protocol. */
public final class ConsensusCodec {
    /**
     * Largest encoded packet: an append of one largest command or a snapshot chunk, with margin.
     */
    public static final int MAX_PACKET_BYTES = 4 << 20;

    /** Largest command; larger ones are refused as proposals and when a packet is decoded. */
    public static final int MAX_COMMAND_BYTES = 1 << 20;

    /** Largest data of one snapshot chunk in a packet. */
    public static final int MAX_CHUNK_BYTES = 1 << 20;

    private ConsensusCodec() {}

    /**
     * Encodes a packet.
     *
     * @param packet the packet
     * @return the bytes for an envelope's payload
     */
    public static byte[] encode(Packet packet) {
        return WireCodec.encodePacket(packet);
    }

    /**
     * Decodes a packet.
     *
     * @param bytes an envelope's payload
     * @return the packet
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if the bytes are malformed, too large or
     *     hold values that no correct sender produces
     */
    public static Packet decode(byte[] bytes) {
        return WireCodec.decodePacket(bytes);
    }
}
