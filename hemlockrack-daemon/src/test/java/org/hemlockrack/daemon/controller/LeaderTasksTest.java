package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.Message;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A leader among five voters of which two answer and two are gone. */
class LeaderTasksTest {
    private static final InstanceId SELF = InstanceId.of("a");
    private static final Set<InstanceId> ANSWERING = ids("b", "c");
    private static final Set<InstanceId> GONE = ids("d", "e");
    private static final long ELECTION_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long AWAY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    @TempDir private Path mFolder;

    private final EventLoop mLoop = EventLoop.open("controller", Throwable::printStackTrace);
    private final EventLoop mLogLoop = EventLoop.open("log", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("a", new ByteArrayOutputStream());
    private ReplicaService mReplica;
    private LeaderTasks mTasks;

    @BeforeEach
    void start() throws InterruptedException {
        LogStore store = LogStore.open(mFolder, new SecureRandom());
        ReplicaRef self = ReplicaRef.of(SELF, store.recovered().hardState().replicaId());
        List<Member> members = new ArrayList<>();
        members.add(new Member(self, MemberKind.VOTER));
        Stream.concat(ANSWERING.stream(), GONE.stream())
                .map(each -> ReplicaRef.of(each, members.size()))
                .forEach(each -> members.add(new Member(each, MemberKind.VOTER)));
        byte[] data = WireCodec.encodeMembership(new Membership(self.replicaId(), members));
        store.append(List.of(new Entry(1, 1, EntryKind.MEMBERSHIP, 0, data)));
        store.sync();
        store.close();
        ReplicaNode node =
                ReplicaNode.start(
                        settings(),
                        LogStore.open(mFolder, new SecureRandom()),
                        ControlState.create(),
                        100,
                        new SplittableRandom(1),
                        mLogLoop.nowNanos());
        mReplica =
                ReplicaService.start(
                        mLogLoop,
                        node,
                        failed -> failed,
                        this::answer,
                        EventLog.create(),
                        () -> {});
        mTasks = LeaderTasks.create(mLoop, SELF, mReplica, 1, mLog);
        await(() -> mReplica.role() == Role.LEADER);
        // A leader refuses changes of voters until its first entry is committed.
        assertEquals(ProposalStatus.APPLIED, mReplica.readIndex().join().status());
    }

    /** The long election timeout keeps a leader whose thread is delayed on a busy machine. */
    private static ConsensusSettings settings() {
        ConsensusSettings usual = ConsensusSettings.of(SELF, List.of(SELF));
        return new ConsensusSettings(
                usual.self(),
                usual.bootstrapVoters(),
                usual.formation(),
                ELECTION_TIMEOUT_NANOS,
                usual.heartbeatNanos(),
                usual.maxBatchBytes(),
                usual.maxInflightAppends(),
                usual.maxPendingBytes(),
                usual.maxChunkBytes(),
                usual.trailingEntries(),
                usual.disabledFeatures());
    }

    @AfterEach
    void close() {
        mReplica.close();
        mLoop.close();
        mLog.close();
    }

    private static Set<InstanceId> ids(String... names) {
        return Stream.of(names).map(InstanceId::of).collect(Collectors.toCollection(TreeSet::new));
    }

    private void answer(Packet packet) {
        Message answer = null;
        if (packet.body() instanceof Message.PreVote) {
            answer = new Message.PreVoteReply(true);
        } else if (packet.body() instanceof Message.Vote) {
            answer = new Message.VoteReply(true);
        } else if (packet.body() instanceof Message.Append append) {
            long last = append.prevIndex() + append.entries().size();
            answer = new Message.AppendReply(true, last, 0, 0, append.round());
        }
        if (answer != null && ANSWERING.contains(packet.to().instance())) {
            mReplica.receive(
                    new Packet(
                            packet.to(), packet.from(), packet.clusterId(), packet.term(), answer));
        }
    }

    private void await(BooleanSupplier condition) throws InterruptedException {
        long startNanos = mLoop.nowNanos();
        while (!condition.getAsBoolean() && mLoop.nowNanos() - startNanos < LIMIT_NANOS) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private Set<InstanceId> members() {
        return mReplica.membership().members().stream()
                .map(each -> each.replica().instance())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private boolean runTasks() {
        long nowNanos = mLoop.nowNanos();
        ANSWERING.forEach(each -> mTasks.noteController(nowNanos, each, false));
        GONE.forEach(each -> mTasks.noteController(nowNanos - AWAY_NANOS, each, false));
        mTasks.run(RoutingOverrides.NONE, service -> Map.of());
        return true;
    }

    /** Guards against a leader that goes between two changes of the voters, a period apart. */
    @Test
    void nextChangeFollowsWithoutAnotherRun() throws InterruptedException {
        mLoop.submit(this::runTasks).join();
        await(() -> members().size() == 3);
        assertEquals(ids("a", "b", "c"), members());
    }

    /**
     * Guards against voters that lose their seats because the connections of their requests are
     * silent, while the messages of their replicas arrive.
     */
    @Test
    void voterWhoseMessagesArriveKeepsItsSeat() {
        mLoop.submit(this::runTasksWithMessages).join();
        assertEquals(5, members().size());
    }

    private boolean runTasksWithMessages() {
        long nowNanos = mLoop.nowNanos();
        ANSWERING.forEach(each -> mTasks.noteController(nowNanos, each, false));
        GONE.forEach(each -> mTasks.noteController(nowNanos - AWAY_NANOS, each, false));
        GONE.forEach(each -> mTasks.noteMessage(nowNanos, each));
        mTasks.run(RoutingOverrides.NONE, service -> Map.of());
        return mReplica.readIndex().join().status() != null;
    }
}
