package org.hemlockrack.membership.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.BackendNews;
import org.hemlockrack.wire.EntryVersion;
import org.hemlockrack.wire.FactNews;
import org.hemlockrack.wire.Gossip;
import org.hemlockrack.wire.LoadNews;
import org.hemlockrack.wire.MemberBrief;
import org.hemlockrack.wire.MemberFull;
import org.jspecify.annotations.Nullable;

/** Encodes and decodes gossip messages within fixed size limits. */
public final class GossipCodec {
    /** Maximum payload that is decoded; no sender creates a longer one. */
    public static final int MAX_PAYLOAD_BYTES = 8_192;

    private static final int MAX_TEXT_BYTES = 256;
    private static final int MAX_LIST_SIZE = 1_024;
    private static final int READY = 1;
    private static final int DRAINING = 2;
    private static final int LEFT = 4;
    private static final int SUSPECT = 8;
    private static final int DEAD = 16;
    private static final int LEAVING = 1;
    private static final int GONE = 2;
    private static final int FENCING = 4;

    private GossipCodec() {}

    /**
     * Encodes a wire struct with the Thrift compact protocol.
     *
     * @param struct the struct
     * @return the encoded bytes
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(256);
            struct.write(new TCompactProtocol(buffer));
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
            return bytes;
        } catch (TException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot encode gossip", e);
        }
    }

    /**
     * Decodes and validates a message.
     *
     * @param payload the payload of an envelope
     * @return the message
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed or exceeds
     *     a limit
     */
    public static GossipMessage decode(byte[] payload) {
        if (payload.length > MAX_PAYLOAD_BYTES) {
            throw malformed(payload.length + " bytes", null);
        }
        try {
            Gossip gossip = new Gossip();
            TMemoryInputTransport transport = new TMemoryInputTransport(payload);
            gossip.read(new TCompactProtocol(transport, MAX_TEXT_BYTES, MAX_LIST_SIZE));
            return toMessage(gossip);
        } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw malformed(String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Returns the encoded size of all entries of a view, as a push of the full state would send
     * them.
     *
     * @param view the view
     * @return encoded bytes without message overhead
     */
    public static long stateBytes(MembershipView view) {
        long bytes = 0;
        for (Member member : view.members().values()) {
            MemberUpdate update =
                    new MemberUpdate(
                            0,
                            member.info(),
                            member.incarnation(),
                            member.status(),
                            member.ready(),
                            member.draining(),
                            member.configVersion());
            bytes += encode(toFull(update, member.info())).length;
        }
        for (Backend backend : view.backends().values()) {
            bytes += encode(toWire(backend)).length;
        }
        for (Fact fact : view.facts().values()) {
            bytes += encode(toWire(fact)).length;
        }
        return bytes;
    }

    private static HemlockrackException malformed(String problem, @Nullable Throwable cause) {
        String text = String.format(ErrorText.MALFORMED_GOSSIP, problem);
        return cause == null
                ? HemlockrackException.of(ErrorKind.BAD_REQUEST, text)
                : HemlockrackException.of(ErrorKind.BAD_REQUEST, text, cause);
    }

    private static GossipMessage toMessage(Gossip gossip) {
        if (gossip.getKind() == null) {
            throw malformed("no known kind", null);
        }
        GossipMessage message =
                GossipMessage.create(
                        gossip.getKind(),
                        gossip.getSequence(),
                        gossip.getSubject(),
                        gossip.getRootDigest());
        orEmpty(gossip.getMembers()).forEach(full -> message.members().add(toUpdate(full)));
        orEmpty(gossip.getBriefs()).forEach(brief -> message.members().add(toUpdate(brief)));
        orEmpty(gossip.getBackends()).forEach(update -> message.backends().add(toBackend(update)));
        orEmpty(gossip.getLoads()).forEach(update -> message.loads().add(toLoad(update)));
        orEmpty(gossip.getFacts()).forEach(update -> message.facts().add(toFact(update)));
        message.buckets().addAll(orEmpty(gossip.getBuckets()));
        orEmpty(gossip.getEntries()).forEach(entry -> message.entries().add(toVersionedKey(entry)));
        message.requestedIds().addAll(orEmpty(gossip.getWants()));
        return message;
    }

    private static <T> List<T> orEmpty(@Nullable List<T> list) {
        return list == null ? List.of() : list;
    }

    static MemberFull toFull(MemberUpdate update, InstanceInfo info) {
        return new MemberFull(
                info.id().value(),
                info.zone().value(),
                info.region(),
                info.peerAddress(),
                info.forwardAddress(),
                update.incarnation().epoch(),
                update.incarnation().counter(),
                flags(update),
                update.configVersion());
    }

    static MemberBrief toBrief(MemberUpdate update) {
        return new MemberBrief(
                update.shortId(),
                update.incarnation().epoch(),
                update.incarnation().counter(),
                flags(update),
                update.configVersion());
    }

    private static int flags(MemberUpdate update) {
        int flags = (update.ready() ? READY : 0) | (update.draining() ? DRAINING : 0);
        return flags
                | switch (update.status()) {
                    case ALIVE -> 0;
                    case LEFT -> LEFT;
                    case DEAD -> DEAD;
                    default -> SUSPECT;
                };
    }

    private static MemberStatus status(int flags) {
        if ((flags & LEFT) != 0) {
            return MemberStatus.LEFT;
        }
        if ((flags & DEAD) != 0) {
            return MemberStatus.DEAD;
        }
        return (flags & SUSPECT) != 0 ? MemberStatus.SUSPECT : MemberStatus.ALIVE;
    }

    private static MemberUpdate toUpdate(MemberFull full) {
        InstanceInfo info =
                new InstanceInfo(
                        InstanceId.of(requireText(full.getId())),
                        ZoneId.of(requireText(full.getZone())),
                        requireText(full.getRegion()),
                        requireText(full.getPeerAddress()),
                        requireText(full.getForwardAddress()));
        return new MemberUpdate(
                ShortIds.member(info.id().value()),
                info,
                requireVersion(full.getStart(), full.getBump()),
                status(full.getFlags()),
                (full.getFlags() & READY) != 0,
                (full.getFlags() & DRAINING) != 0,
                full.getConfigVersion());
    }

    private static MemberUpdate toUpdate(MemberBrief brief) {
        return new MemberUpdate(
                brief.getShortId(),
                null,
                requireVersion(brief.getStart(), brief.getBump()),
                status(brief.getFlags()),
                (brief.getFlags() & READY) != 0,
                (brief.getFlags() & DRAINING) != 0,
                brief.getConfigVersion());
    }

    static BackendNews toWire(Backend backend) {
        List<String> models = new ArrayList<>();
        for (ModelVersion model : backend.models()) {
            models.add(model.model());
            models.add(model.version());
        }
        int flags =
                switch (backend.state()) {
                    case READY -> 0;
                    case LEAVING -> LEAVING;
                    case GONE -> GONE;
                };
        return new BackendNews(
                backend.id().value(),
                backend.service().value(),
                models,
                backend.zone().value(),
                backend.address(),
                backend.version().epoch(),
                backend.version().counter(),
                flags | (backend.checksFencing() ? FENCING : 0),
                backend.limit(),
                backend.owner().value());
    }

    private static Backend toBackend(BackendNews update) {
        List<ModelVersion> models = new ArrayList<>();
        List<String> names = orEmpty(update.getModels());
        for (int i = 0; i < names.size(); i += 2) {
            models.add(ModelVersion.of(requireText(names.get(i)), requireText(names.get(i + 1))));
        }
        int flags = update.getFlags();
        BackendState state = (flags & LEAVING) != 0 ? BackendState.LEAVING : BackendState.READY;
        return new Backend(
                BackendId.of(requireText(update.getId())),
                ServiceId.of(requireText(update.getServiceName())),
                models,
                ZoneId.of(requireText(update.getZone())),
                requireText(update.getAddress()),
                (flags & GONE) != 0 ? BackendState.GONE : state,
                update.getLimit(),
                (flags & FENCING) != 0,
                InstanceId.of(requireText(update.getOwner())),
                requireVersion(update.getIncarnation(), update.getRevision()));
    }

    static LoadNews toWire(BackendLoad load) {
        return new LoadNews(
                load.shortId(), load.version().epoch(), load.version().counter(), load.inFlight());
    }

    private static BackendLoad toLoad(LoadNews update) {
        if (update.getInFlight() < 0) {
            throw malformed("a negative load", null);
        }
        Version version = requireVersion(update.getIncarnation(), update.getSequence());
        return new BackendLoad(update.getShortId(), version, update.getInFlight());
    }

    static FactNews toWire(Fact fact) {
        return new FactNews(
                fact.key(),
                fact.version(),
                ByteBuffer.wrap(fact.payload()),
                fact.trafficClass().ordinal());
    }

    private static Fact toFact(FactNews update) {
        byte[] payload = update.getPayload();
        if (payload == null) {
            throw malformed("a fact without payload", null);
        }
        TrafficClass trafficClass = TrafficClass.values()[update.getTrafficClass()];
        return new Fact(requireText(update.getKey()), update.getVersion(), payload, trafficClass);
    }

    static EntryVersion toWire(VersionedKey key) {
        return new EntryVersion(key.shortId(), key.version().epoch(), key.version().counter());
    }

    private static VersionedKey toVersionedKey(EntryVersion entry) {
        return new VersionedKey(
                entry.getShortId(), requireVersion(entry.getEpoch(), entry.getCounter()));
    }

    private static Version requireVersion(long epoch, long counter) {
        if (epoch < 0 || counter < 0) {
            throw malformed("a negative version", null);
        }
        return Version.of(epoch, counter);
    }

    private static String requireText(@Nullable String value) {
        if (value == null) {
            throw malformed("a missing name", null);
        }
        return value;
    }
}
