package org.hemlockrack.membership.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.Gossip;
import org.hemlockrack.wire.GossipKind;
import org.junit.jupiter.api.Test;

class GossipCodecProperties {
    private static final InstanceInfo INFO =
            new InstanceInfo(InstanceId.of("i"), ZoneId.of("z"), "r", "h:1", "h:2");
    private static final MemberUpdate MEMBER_UPDATE =
            new MemberUpdate(
                    ShortIds.member("i"),
                    INFO,
                    Version.of(7, 8),
                    MemberStatus.SUSPECT,
                    true,
                    true,
                    9);
    private static final Backend BACKEND =
            new Backend(
                    BackendId.of("b"),
                    ServiceId.of("s"),
                    List.of(ModelVersion.of("m", "v")),
                    ZoneId.of("z"),
                    "h:3",
                    BackendState.LEAVING,
                    4,
                    true,
                    InstanceId.of("i"),
                    Version.of(1, 2));
    private static final Fact FACT = new Fact("k", 3, new byte[] {1, 2}, TrafficClass.URGENT);
    private static final BackendLoad LOAD = new BackendLoad(5, Version.of(1, 6), 7);

    private static byte[] sample() {
        Gossip gossip = new Gossip(GossipKind.ENTRIES);
        gossip.addToMembers(GossipCodec.toFull(MEMBER_UPDATE, INFO));
        gossip.addToBackends(GossipCodec.toWire(BACKEND));
        gossip.addToLoads(GossipCodec.toWire(LOAD));
        gossip.addToFacts(GossipCodec.toWire(FACT));
        gossip.addToEntries(GossipCodec.toWire(new VersionedKey(11, Version.of(12, 13))));
        gossip.addToWants(14);
        return GossipCodec.encode(gossip);
    }

    /** Guards against fields that are lost or exchanged on the wire. */
    @Test
    void encodedMessageIsDecoded() {
        GossipMessage message = GossipCodec.decode(sample());
        assertEquals(List.of(MEMBER_UPDATE), message.members());
        assertEquals(List.of(BACKEND), message.backends());
        assertEquals(List.of(LOAD), message.loads());
        assertEquals(List.of(FACT), message.facts());
        assertEquals(List.of(new VersionedKey(11, Version.of(12, 13))), message.entries());
        assertEquals(List.of(14L), message.requestedIds());
    }

    /** Guards against damaged messages that cause any exception other than a rejection. */
    @Property(tries = 2000)
    void damagedMessagesAreRejectedOrValid(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] bytes = sample();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        try {
            GossipCodec.decode(bytes);
        } catch (HemlockrackException expected) {
            assertEquals(ErrorKind.BAD_REQUEST, expected.kind());
        }
    }

    /** Guards the limit on the size of messages that this process decodes. */
    @Test
    void longMessageIsRejected() {
        HemlockrackException thrown =
                assertThrows(HemlockrackException.class, () -> GossipCodec.decode(new byte[8_193]));
        assertEquals(ErrorKind.BAD_REQUEST, thrown.kind());
    }
}
