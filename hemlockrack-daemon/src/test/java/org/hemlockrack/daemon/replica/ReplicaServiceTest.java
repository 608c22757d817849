package org.hemlockrack.daemon.replica;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.util.concurrent.Uninterruptibles;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hemlockrack.consensus.ConsensusSettings;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.EntryKind;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.FullDiskStore.RefusedCall;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

class ReplicaServiceTest {
    private static final InstanceId SELF = InstanceId.of("a");
    private static final int SNAPSHOT_ENTRIES = 10;

    private final EventLoop mLoop = EventLoop.open("log", Throwable::printStackTrace);
    private final ControlState mState = ControlState.create();
    private final AtomicLong mPublishedVersion = new AtomicLong();

    /** Thrown by the publication of the state, or by the transport. */
    private volatile @Nullable Throwable mInjected;

    private final AtomicBoolean mDiskFull = new AtomicBoolean();

    /** How many openings fail after the folder was locked. */
    private final AtomicInteger mFailingWraps = new AtomicInteger();

    private final StorageEvents mStorageLog = new StorageEvents();
    private RefusedCall mRefused = RefusedCall.WRITE;

    /** Records what the storage reports. */
    private static final class StorageEvents implements ReplicaStorage.Listener {
        private final List<String> mEvents = new CopyOnWriteArrayList<>();

        @Override
        public void onDamaged(HemlockrackException cause) {
            mEvents.add("damaged");
        }

        @Override
        public void onUnavailable(HemlockrackException cause) {
            mEvents.add("unavailable");
        }

        @Override
        public void onAvailable() {
            mEvents.add("available");
        }
    }

    private ReplicaStorage storage(Path folder) {
        return ReplicaStorage.of(folder, new SecureRandom(), this::wrap, mStorageLog);
    }

    private LogStore wrap(LogStore store) {
        if (mFailingWraps.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            throw HemlockrackException.of(ErrorKind.STORAGE_FAILED, "cannot be read");
        }
        return new FullDiskStore(store, mDiskFull, mRefused);
    }

    private ReplicaNode startNode(LogStore store) {
        return ReplicaNode.start(
                ConsensusSettings.of(SELF, List.of(SELF)),
                store,
                mState,
                SNAPSHOT_ENTRIES,
                new SplittableRandom(1),
                mLoop.nowNanos());
    }

    private ReplicaNode resumeNode(LogStore store, ReplicaNode failed) {
        return ReplicaNode.resume(
                ConsensusSettings.of(SELF, List.of(SELF)),
                store,
                failed,
                new SplittableRandom(1),
                mLoop.nowNanos());
    }

    private ReplicaService start(Path folder) throws InterruptedException {
        ReplicaStorage storage = storage(folder);
        ReplicaNode node = storage.start(this::startNode);
        ReplicaService replica =
                ReplicaService.start(
                        mLoop,
                        node,
                        failed -> storage.reopen(store -> resumeNode(store, failed)),
                        packet -> {},
                        EventLog.create(),
                        this::publishState);
        awaitLeader(replica);
        return replica;
    }

    private void publishState() {
        Throwable injected = mInjected;
        if (injected instanceof Error error) {
            throw error;
        }
        if (injected instanceof RuntimeException exception) {
            throw exception;
        }
        mPublishedVersion.set(mState.tableVersion());
    }

    private static void awaitLeader(ReplicaService replica) throws InterruptedException {
        for (int i = 0; i < 2_000 && replica.role() != Role.LEADER; i++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertEquals(Role.LEADER, replica.role());
    }

    private static ProposalStatus publish(ReplicaService replica, int version) throws Exception {
        return replica.propose(ControlCommand.publishTable(version, new byte[] {1}))
                .get(10, TimeUnit.SECONDS)
                .status();
    }

    /**
     * Guards against a read that returns an older state than the command it follows: the results of
     * a step were completed before the step's state was published.
     */
    @Test
    void resultsFollowThePublicationOfTheirState(@TempDir Path folder) throws Exception {
        try (ReplicaService replica = start(folder)) {
            CountDownLatch submitted = new CountDownLatch(1);
            mLoop.execute(
                    () -> {
                        try {
                            submitted.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    });
            CompletableFuture<Long> seenByProposer =
                    replica.propose(ControlCommand.publishTable(7, new byte[] {1}))
                            .thenApply(outcome -> mPublishedVersion.get());
            CompletableFuture<Long> seenByReader =
                    replica.readIndex().thenApply(outcome -> mPublishedVersion.get());
            submitted.countDown();
            assertEquals(7, seenByProposer.get(10, TimeUnit.SECONDS));
            assertEquals(7, seenByReader.get(10, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against a replica that takes no part any more after its disk was full for some time:
     * once that has happened to a majority, no change is acknowledged, while all processes run.
     */
    @ParameterizedTest
    @EnumSource(names = {"WRITE", "SYNC"})
    void replicaReturnsAfterItsDiskWasFull(RefusedCall refused, @TempDir Path folder)
            throws Exception {
        mRefused = refused;
        try (ReplicaService replica = start(folder)) {
            assertEquals(ProposalStatus.APPLIED, publish(replica, 7));
            for (int round = 1; round <= 2; round++) {
                mDiskFull.set(true);
                assertNotEquals(ProposalStatus.APPLIED, publish(replica, 10 * round));
                assertEquals(Role.FOLLOWER, replica.role());
                assertEquals(0, replica.settledTerm());
                TimeUnit.MILLISECONDS.sleep(500);
                mDiskFull.set(false);
                awaitLeader(replica);
                assertEquals(ProposalStatus.APPLIED, publish(replica, 10 * round + 1));
                assertEquals(10 * round + 1, mPublishedVersion.get());
            }
        }
        ControlState read = ControlState.create();
        try (LogStore store = LogStore.open(folder, new SecureRandom())) {
            if (store.recovered().snapshot() != null) {
                read.restore(store.loadSnapshot());
            }
            for (Entry entry : store.recovered().entries()) {
                if (entry.kind() == EntryKind.COMMAND && entry.index() > read.revision()) {
                    read.apply(entry.index(), 0, entry.data());
                }
            }
        }
        assertEquals(21, read.tableVersion());
    }

    /**
     * Guards against a replica that finds its own lock at each later try, after its files were
     * locked and then could not be read.
     */
    @Test
    void replicaReturnsAfterItsFilesCouldNotBeRead(@TempDir Path folder) throws Exception {
        try (ReplicaService replica = start(folder)) {
            assertEquals(ProposalStatus.APPLIED, publish(replica, 7));
            mFailingWraps.set(2);
            mDiskFull.set(true);
            publish(replica, 8);
            mDiskFull.set(false);
            awaitLeader(replica);
            assertEquals(0, mFailingWraps.get());
            assertEquals(ProposalStatus.APPLIED, publish(replica, 9));
            assertEquals(List.of(), mStorageLog.mEvents);
        }
    }

    /** Guards against a process that ends, again and again, while its disk cannot be used. */
    @Test
    void startWaitsUntilTheFilesCanBeUsed(@TempDir Path folder) throws Exception {
        mFailingWraps.set(3);
        try (ReplicaService replica = start(folder)) {
            assertEquals(List.of("unavailable", "available"), mStorageLog.mEvents);
            assertEquals(ProposalStatus.APPLIED, publish(replica, 7));
        }
    }

    /**
     * Guards against a change that is acknowledged and not shown, as the disk then refuses a call.
     */
    @Test
    void resultsOfAStepThatFailsFollowThePublicationToo(@TempDir Path folder) throws Exception {
        mRefused = RefusedCall.COMPACTION;
        try (ReplicaService replica = start(folder)) {
            long version = 1;
            while (version <= 400) {
                long proposed = version++;
                mDiskFull.set(proposed > 250);
                long seen =
                        replica.propose(ControlCommand.publishTable(proposed, new byte[] {1}))
                                .thenApply(outcome -> mPublishedVersion.get())
                                .get(10, TimeUnit.SECONDS);
                assertEquals(proposed, seen);
                // The step that completed the result ends first; it may suspend the replica.
                mLoop.submit(() -> true).join();
                if (replica.role() != Role.LEADER) {
                    break;
                }
            }
            assertTrue(version <= 400, "no compaction was refused");
        }
    }

    /**
     * Guards against a stop that waits for a disk that does not answer, until the process is
     * killed.
     */
    @Test
    void stopDoesNotWaitForADiskThatStalls(@TempDir Path folder) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        ReplicaService replica = start(folder);
        mLoop.execute(
                () -> {
                    stalled.countDown();
                    boolean isReleased = false;
                    while (!isReleased) {
                        isReleased = Uninterruptibles.awaitUninterruptibly(released, 60, SECONDS);
                    }
                });
        stalled.await();
        assertTimeoutPreemptively(Duration.ofSeconds(10), replica::close);
        released.countDown();
    }

    private static List<Throwable> unexpectedFailures() {
        return List.of(
                HemlockrackException.of(ErrorKind.INTERNAL, "injected"),
                new IllegalStateException("injected"),
                new StackOverflowError("injected"));
    }

    /**
     * Guards against a replica that ends, or is taken for one whose disk failed, after an exception
     * that has nothing to do with its disk, while its process goes on as a voter without a replica.
     */
    @ParameterizedTest
    @MethodSource("unexpectedFailures")
    void unexpectedFailureIsReportedAsTheEndOfTheThread(Throwable failure, @TempDir Path folder)
            throws Exception {
        BlockingQueue<Throwable> reported = new LinkedBlockingQueue<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> reported.add(cause));
        try (ReplicaService replica = start(folder)) {
            mInjected = failure;
            replica.propose(ControlCommand.publishTable(7, new byte[] {1}));
            assertSame(failure, reported.poll(10, TimeUnit.SECONDS));
            assertEquals(Role.FOLLOWER, replica.role());
            assertEquals(ProposalStatus.NOT_LEADER, publish(replica, 8));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    /**
     * Guards against a change that is acknowledged and not shown, because an exception ended the
     * publication of the state that includes it.
     */
    @Test
    void resultsWhoseStateCannotBePublishedAreUnknown(@TempDir Path folder) throws Exception {
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {});
        try (ReplicaService replica = start(folder)) {
            assertEquals(ProposalStatus.APPLIED, publish(replica, 7));
            mInjected = new IllegalStateException("injected");
            assertEquals(ProposalStatus.UNKNOWN, publish(replica, 8));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    /** Guards against a change that takes effect twice, or is lost, when its disk fills up. */
    @Test
    void stateIsTheSameAfterTheDiskWasFull(@TempDir Path folder) throws Exception {
        try (ReplicaService replica = start(folder)) {
            for (int version = 1; version <= 3 * SNAPSHOT_ENTRIES; version++) {
                assertEquals(ProposalStatus.APPLIED, publish(replica, version));
                if (version % 7 == 0) {
                    long revision = mLoop.submit(mState::revision).join();
                    mDiskFull.set(true);
                    publish(replica, 1);
                    mDiskFull.set(false);
                    awaitLeader(replica);
                    assertTrue(mLoop.submit(mState::revision).join() >= revision);
                }
                assertEquals(version, mPublishedVersion.get());
            }
        }
    }
}
