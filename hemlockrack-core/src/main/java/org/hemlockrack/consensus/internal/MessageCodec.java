package org.hemlockrack.consensus.internal;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.WireAppend;
import org.hemlockrack.wire.WireAppendReply;
import org.hemlockrack.wire.WireBody;
import org.hemlockrack.wire.WireEntry;
import org.hemlockrack.wire.WireHello;
import org.hemlockrack.wire.WireHelloReply;
import org.hemlockrack.wire.WireSnapshotChunk;
import org.hemlockrack.wire.WireSnapshotReply;
import org.hemlockrack.wire.WireVote;
import org.hemlockrack.wire.WireVoteReply;

/** Converts message bodies to Thrift structs and back. */
final class MessageCodec {
    private MessageCodec() {}

    static WireBody encode(Message body) {
        if (body instanceof Message.Append append) {
            return WireBody.append(append(append));
        }
        if (body instanceof Message.AppendReply r) {
            return WireBody.appendReply(
                    new WireAppendReply(
                            r.success(),
                            r.index(),
                            r.conflictTerm(),
                            r.conflictIndex(),
                            r.round()));
        }
        if (body instanceof Message.Hello hello) {
            return WireBody.hello(new WireHello(hello.nonce()));
        }
        if (body instanceof Message.HelloReply reply) {
            return WireBody.helloReply(new WireHelloReply(reply.empty(), reply.nonce()));
        }
        if (body instanceof Message.SnapshotChunk chunk) {
            return WireBody.snapshotChunk(
                    new WireSnapshotChunk(
                            WireCodec.snapshot(chunk.meta()),
                            chunk.offset(),
                            chunk.round(),
                            ByteBuffer.wrap(chunk.data())));
        }
        if (body instanceof Message.SnapshotReply reply) {
            return WireBody.snapshotReply(
                    new WireSnapshotReply(
                            reply.snapshotIndex(), reply.nextOffset(), reply.round()));
        }
        return encodeElection(body);
    }

    private static WireBody encodeElection(Message body) {
        if (body instanceof Message.PreVote vote) {
            return WireBody.preVote(new WireVote(vote.lastIndex(), vote.lastTerm()));
        }
        if (body instanceof Message.PreVoteReply reply) {
            return WireBody.preVoteReply(new WireVoteReply(reply.granted()));
        }
        if (body instanceof Message.Vote vote) {
            return WireBody.vote(new WireVote(vote.lastIndex(), vote.lastTerm()));
        }
        if (body instanceof Message.VoteReply reply) {
            return WireBody.voteReply(new WireVoteReply(reply.granted()));
        }
        throw HemlockrackException.of(
                ErrorKind.INTERNAL, "no wire encoding for " + body.getClass());
    }

    static Message decode(WireBody body, long term) {
        WireCodec.require(body != null && body.getSetField() != null, "body");
        switch (body.getSetField()) {
            case HELLO:
                return new Message.Hello(body.getHello().getNonce());
            case HELLO_REPLY:
                WireHelloReply reply = body.getHelloReply();
                return new Message.HelloReply(reply.isEmpty(), reply.getNonce());
            case PRE_VOTE:
                WireVote preVote = requireValid(body.getPreVote());
                return new Message.PreVote(preVote.getLastIndex(), preVote.getLastTerm());
            case PRE_VOTE_REPLY:
                return new Message.PreVoteReply(body.getPreVoteReply().isGranted());
            case VOTE:
                WireVote vote = requireValid(body.getVote());
                return new Message.Vote(vote.getLastIndex(), vote.getLastTerm());
            case VOTE_REPLY:
                return new Message.VoteReply(body.getVoteReply().isGranted());
            case APPEND:
                return append(body.getAppend(), term);
            case APPEND_REPLY:
                return appendReply(body.getAppendReply());
            case SNAPSHOT_CHUNK:
                return chunk(body.getSnapshotChunk());
            default:
                return snapshotReply(body.getSnapshotReply());
        }
    }

    private static WireVote requireValid(WireVote vote) {
        WireCodec.require(vote.getLastIndex() >= 0 && vote.getLastTerm() >= 0, "last entry");
        return vote;
    }

    private static WireAppend append(Message.Append append) {
        List<WireEntry> entries = new ArrayList<>(append.entries().size());
        for (Entry entry : append.entries()) {
            entries.add(WireCodec.entry(entry));
        }
        return new WireAppend(
                append.prevIndex(),
                append.prevTerm(),
                append.commitIndex(),
                append.round(),
                entries);
    }

    private static Message append(WireAppend wire, long term) {
        WireCodec.require(wire.getPrevIndex() >= 0 && wire.getPrevTerm() >= 0, "previous entry");
        WireCodec.require(wire.getCommitIndex() >= 0, "commit index");
        List<Entry> entries = new ArrayList<>(wire.getEntriesSize());
        long index = wire.getPrevIndex();
        long lastTerm = wire.getPrevTerm();
        for (WireEntry each : wire.getEntries()) {
            Entry entry = WireCodec.entry(each);
            WireCodec.require(entry.index() == index + 1, "order of entries");
            WireCodec.require(entry.term() >= lastTerm && entry.term() <= term, "entry term");
            index = entry.index();
            lastTerm = entry.term();
            entries.add(entry);
        }
        return new Message.Append(
                wire.getPrevIndex(),
                wire.getPrevTerm(),
                wire.getCommitIndex(),
                wire.getRound(),
                entries);
    }

    private static Message appendReply(WireAppendReply wire) {
        WireCodec.require(wire.getIndex() >= 0, "index");
        WireCodec.require(wire.getConflictTerm() >= 0 && wire.getConflictIndex() >= 0, "conflict");
        return new Message.AppendReply(
                wire.isSuccess(),
                wire.getIndex(),
                wire.getConflictTerm(),
                wire.getConflictIndex(),
                wire.getRound());
    }

    private static Message chunk(WireSnapshotChunk wire) {
        SnapshotMeta meta = WireCodec.snapshot(wire.getMeta());
        byte[] data = wire.getData();
        WireCodec.require(data.length <= ConsensusCodec.MAX_CHUNK_BYTES, "snapshot part");
        WireCodec.require(wire.getOffset() >= 0, "offset");
        WireCodec.require(wire.getOffset() <= meta.sizeBytes() - data.length, "offset");
        return new Message.SnapshotChunk(meta, wire.getOffset(), wire.getRound(), data);
    }

    private static Message snapshotReply(WireSnapshotReply wire) {
        WireCodec.require(wire.getSnapshotIndex() > 0 && wire.getNextOffset() >= 0, "offset");
        return new Message.SnapshotReply(
                wire.getSnapshotIndex(), wire.getNextOffset(), wire.getRound());
    }
}
