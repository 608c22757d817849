package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.ReplicaRef;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.SyncReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A follower among three voters and one learner that is told to stop. */
class SeatHandoverTest {
    private static final InstanceId SELF = InstanceId.of("a");
    private static final InstanceId LEARNER = InstanceId.of("d");

    @TempDir private Path mFolder;

    private final EventLoop mLoop = EventLoop.open("controller", Throwable::printStackTrace);
    private final EventLoop mLogLoop = EventLoop.open("log", Throwable::printStackTrace);
    private final DecisionLog mLog = DecisionLog.open("a", new ByteArrayOutputStream());
    private ReplicaService mReplica;
    private LeaderTasks mTasks;
    private SeatHandover mHandover;

    @BeforeEach
    void start() throws InterruptedException {
        LogStore store = LogStore.open(mFolder, new SecureRandom());
        long selfId = store.recovered().hardState().replicaId();
        List<Member> members =
                List.of(
                        new Member(ReplicaRef.of(SELF, selfId), MemberKind.VOTER),
                        new Member(ReplicaRef.of(InstanceId.of("b"), 1), MemberKind.VOTER),
                        new Member(ReplicaRef.of(InstanceId.of("c"), 2), MemberKind.VOTER),
                        new Member(ReplicaRef.of(LEARNER, 3), MemberKind.LEARNER));
        byte[] data = WireCodec.encodeMembership(new Membership(selfId, members));
        store.append(List.of(new Entry(1, 1, EntryKind.MEMBERSHIP, 0, data)));
        store.sync();
        store.close();
        ReplicaNode node =
                ReplicaNode.start(
                        ConsensusSettings.of(SELF, List.of(SELF)),
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
                        packet -> {},
                        EventLog.create(),
                        () -> {});
        mTasks = LeaderTasks.create(mLoop, SELF, mReplica, 1, mLog);
        mHandover = SeatHandover.create(SELF, "a:1", mReplica, mTasks);
        // The membership is known after the first step of the replica.
        while (!mReplica.isVoter()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @AfterEach
    void close() {
        mReplica.close();
        mLoop.close();
        mLog.close();
    }

    private static SyncReply reply(int voters, String... controllers) {
        SyncReply reply = new SyncReply();
        reply.setVoters(voters);
        reply.setControllers(List.of(controllers));
        return reply;
    }

    /** Guards against a stop that waits although there is nobody to take the seat. */
    @Test
    void onlyALearnerThatAnswersMakesItPossible() {
        assertFalse(mHandover.isPossible());
        mTasks.noteController(mLoop.nowNanos(), InstanceId.of("b"), false);
        assertFalse(mHandover.isPossible());
        mTasks.noteController(mLoop.nowNanos(), LEARNER, false);
        assertTrue(mHandover.isPossible());
    }

    /** Guards against a stop before a majority of the other voters knows of the removal. */
    @Test
    void majorityOfTheOthersMustReportTheRemoval() {
        mHandover.start(mLoop.nowNanos());
        assertTrue(mHandover.isLeaving());
        assertFalse(mHandover.isDone());
        mHandover.recordReply("b:1", reply(3, "b:1", "c:1", "d:1"));
        assertFalse(mHandover.isDone());
        mHandover.recordReply("c:1", reply(4, "a:1", "b:1", "c:1", "d:1"));
        assertFalse(mHandover.isDone());
        mHandover.recordReply("c:1", reply(3, "b:1", "c:1", "d:1"));
        assertTrue(mHandover.isDone());
    }

    /** Guards against a stop that takes the word of controllers which know no members. */
    @Test
    void controllersThatDoNotVoteDoNotCount() {
        mHandover.start(mLoop.nowNanos());
        mHandover.recordReply("b:1", reply(0));
        mHandover.recordReply("c:1", reply(0));
        mHandover.recordReply("e:1", new SyncReply());
        assertFalse(mHandover.isDone());
    }
}
