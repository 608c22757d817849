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

/** Translates between messages and their wire form, within fixed bounds. */
public final class GossipCodec {
    /** Longest payload that is read; no sender makes a longer one. */
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
     * Writes a wire struct.
     *
     * @param struct the struct
     * @return its compact form
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
     * Reads a message.
     *
     * @param payload the payload of an envelope
     * @return the message, every part of which is valid
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed or exceeds
     *     a bound
     */
    public static Message decode(byte[] payload) {
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
     * Returns the bytes of everything in a view, as a push of the whole state would carry it.
     *
     * @param view the view
     * @return encoded bytes without message overhead
     */
    public static long stateBytes(MembershipView view) {
        long bytes = 0;
        for (Member member : view.members().values()) {
            News news =
                    new News(
                            0,
                            member.info(),
                            member.incarnation(),
                            member.status(),
                            member.ready(),
                            member.draining(),
                            member.configVersion());
            bytes += encode(toFull(news, member.info())).length;
        }
        for (Backend backend : view.backends().values()) {
            bytes += encode(toWire(backend)).length;
        }
        for (Fact fact : view.facts().values()) {
            bytes += encode(toWire(fact)).length;
        }
        return bytes;
    }

    private static HemlockrackException malformed(String found, @Nullable Throwable cause) {
        String text = String.format(ErrorText.MALFORMED_GOSSIP, found);
        return cause == null
                ? HemlockrackException.of(ErrorKind.BAD_REQUEST, text)
                : HemlockrackException.of(ErrorKind.BAD_REQUEST, text, cause);
    }

    private static Message toMessage(Gossip gossip) {
        if (gossip.getKind() == null) {
            throw malformed("no known kind", null);
        }
        Message message =
                Message.create(
                        gossip.getKind(),
                        gossip.getSequence(),
                        gossip.getSubject(),
                        gossip.getRootDigest());
        orEmpty(gossip.getMembers()).forEach(full -> message.members().add(toNews(full)));
        orEmpty(gossip.getBriefs()).forEach(brief -> message.members().add(toNews(brief)));
        orEmpty(gossip.getBackends()).forEach(news -> message.backends().add(toBackend(news)));
        orEmpty(gossip.getLoads()).forEach(news -> message.loads().add(toLoad(news)));
        orEmpty(gossip.getFacts()).forEach(news -> message.facts().add(toFact(news)));
        message.buckets().addAll(orEmpty(gossip.getBuckets()));
        orEmpty(gossip.getEntries()).forEach(entry -> message.entries().add(toKey(entry)));
        message.wants().addAll(orEmpty(gossip.getWants()));
        return message;
    }

    private static <T> List<T> orEmpty(@Nullable List<T> list) {
        return list == null ? List.of() : list;
    }

    static MemberFull toFull(News news, InstanceInfo info) {
        return new MemberFull(
                info.id().value(),
                info.zone().value(),
                info.region(),
                info.peerAddress(),
                info.forwardAddress(),
                news.incarnation().epoch(),
                news.incarnation().counter(),
                flags(news),
                news.configVersion());
    }

    static MemberBrief toBrief(News news) {
        return new MemberBrief(
                news.shortId(),
                news.incarnation().epoch(),
                news.incarnation().counter(),
                flags(news),
                news.configVersion());
    }

    private static int flags(News news) {
        int flags = (news.ready() ? READY : 0) | (news.draining() ? DRAINING : 0);
        return flags
                | switch (news.status()) {
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

    private static News toNews(MemberFull full) {
        InstanceInfo info =
                new InstanceInfo(
                        InstanceId.of(text(full.getId())),
                        ZoneId.of(text(full.getZone())),
                        text(full.getRegion()),
                        text(full.getPeerAddress()),
                        text(full.getForwardAddress()));
        return new News(
                ShortIds.member(info.id().value()),
                info,
                version(full.getStart(), full.getBump()),
                status(full.getFlags()),
                (full.getFlags() & READY) != 0,
                (full.getFlags() & DRAINING) != 0,
                full.getConfigVersion());
    }

    private static News toNews(MemberBrief brief) {
        return new News(
                brief.getShortId(),
                null,
                version(brief.getStart(), brief.getBump()),
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

    private static Backend toBackend(BackendNews news) {
        List<ModelVersion> models = new ArrayList<>();
        List<String> names = orEmpty(news.getModels());
        for (int i = 0; i < names.size(); i += 2) {
            models.add(ModelVersion.of(text(names.get(i)), text(names.get(i + 1))));
        }
        int flags = news.getFlags();
        BackendState state = (flags & LEAVING) != 0 ? BackendState.LEAVING : BackendState.READY;
        return new Backend(
                BackendId.of(text(news.getId())),
                ServiceId.of(text(news.getServiceName())),
                models,
                ZoneId.of(text(news.getZone())),
                text(news.getAddress()),
                (flags & GONE) != 0 ? BackendState.GONE : state,
                news.getLimit(),
                (flags & FENCING) != 0,
                InstanceId.of(text(news.getOwner())),
                version(news.getIncarnation(), news.getRevision()));
    }

    static LoadNews toWire(Load load) {
        return new LoadNews(
                load.shortId(), load.version().epoch(), load.version().counter(), load.inFlight());
    }

    private static Load toLoad(LoadNews news) {
        if (news.getInFlight() < 0) {
            throw malformed("a negative load", null);
        }
        Version version = version(news.getIncarnation(), news.getSequence());
        return new Load(news.getShortId(), version, news.getInFlight());
    }

    static FactNews toWire(Fact fact) {
        return new FactNews(
                fact.key(),
                fact.version(),
                ByteBuffer.wrap(fact.payload()),
                fact.trafficClass().ordinal());
    }

    private static Fact toFact(FactNews news) {
        byte[] payload = news.getPayload();
        if (payload == null) {
            throw malformed("a fact without payload", null);
        }
        TrafficClass trafficClass = TrafficClass.values()[news.getTrafficClass()];
        return new Fact(text(news.getKey()), news.getVersion(), payload, trafficClass);
    }

    static EntryVersion toWire(EntryKey key) {
        return new EntryVersion(key.shortId(), key.version().epoch(), key.version().counter());
    }

    private static EntryKey toKey(EntryVersion entry) {
        return new EntryKey(entry.getShortId(), version(entry.getEpoch(), entry.getCounter()));
    }

    private static Version version(long epoch, long counter) {
        if (epoch < 0 || counter < 0) {
            throw malformed("a negative version", null);
        }
        return Version.of(epoch, counter);
    }

    private static String text(@Nullable String value) {
        if (value == null) {
            throw malformed("a missing name", null);
        }
        return value;
    }
}
