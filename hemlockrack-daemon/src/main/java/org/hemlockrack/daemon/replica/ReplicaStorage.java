package org.hemlockrack.daemon.replica;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/**
 * Opens the log store of a replica: at the start of the process, and again after a write has
 * failed. A store whose replica could not be started is closed, so that the next try finds its lock
 * free. Not thread-safe.
 */
public final class ReplicaStorage {
    private static final long FIRST_PAUSE_MILLIS = 100;
    private static final long MAX_PAUSE_MILLIS = 1_000;

    /** Hears of what operators should know about the storage. */
    public interface Listener {
        /**
         * Called before damaged files are moved aside; the instance goes on as a new replica.
         *
         * @param cause what is damaged
         */
        void onDamaged(HemlockrackException cause);

        /**
         * Called once when the start begins to wait, because the files cannot be written or read.
         *
         * @param cause why
         */
        void onUnavailable(HemlockrackException cause);

        /** Called when a start that has waited goes on. */
        void onAvailable();
    }

    private final Path mFolder;
    private final RandomGenerator mRandom;
    private final UnaryOperator<LogStore> mWrapper;
    private final Listener mListener;

    private ReplicaStorage(
            Path folder,
            RandomGenerator random,
            UnaryOperator<LogStore> wrapper,
            Listener listener) {
        mFolder = folder;
        mRandom = random;
        mWrapper = wrapper;
        mListener = listener;
    }

    /**
     * Returns the storage in a folder. Nothing is opened yet.
     *
     * @param folder the data folder of the replica
     * @param random source for the id of a new replica
     * @param wrapper wraps each opened store; the wrapper closes it
     * @param listener hears of damaged and unavailable files
     * @return the storage
     */
    public static ReplicaStorage of(
            Path folder,
            RandomGenerator random,
            UnaryOperator<LogStore> wrapper,
            Listener listener) {
        return new ReplicaStorage(folder, random, wrapper, listener);
    }

    /**
     * Opens the store and starts a replica on it. While the files cannot be written or read, this
     * waits and tries again; the calling thread sleeps meanwhile.
     *
     * @param starter starts a replica on a store
     * @return the replica
     * @throws HemlockrackException with {@link ErrorKind#NOT_READY} if another process uses the
     *     folder, or if the thread is interrupted
     */
    public ReplicaNode start(Function<LogStore, ReplicaNode> starter) {
        long pauseMillis = FIRST_PAUSE_MILLIS;
        while (true) {
            try {
                ReplicaNode node = reopen(starter);
                if (pauseMillis > FIRST_PAUSE_MILLIS) {
                    mListener.onAvailable();
                }
                return node;
            } catch (HemlockrackException e) {
                if (e.kind() != ErrorKind.STORAGE_FAILED) {
                    throw e;
                }
                if (pauseMillis == FIRST_PAUSE_MILLIS) {
                    mListener.onUnavailable(e);
                }
            }
            sleep(pauseMillis);
            pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
        }
    }

    /**
     * Opens the store and starts a replica on it.
     *
     * @param starter starts a replica on a store
     * @return the replica
     * @throws HemlockrackException with {@link ErrorKind#STORAGE_FAILED} if the files cannot be
     *     written or read, with {@link ErrorKind#NOT_READY} if another process uses the folder
     */
    public ReplicaNode reopen(Function<LogStore, ReplicaNode> starter) {
        LogStore store = open();
        try {
            return starter.apply(mWrapper.apply(store));
        } catch (RuntimeException | Error e) {
            closeAfter(e, store);
            throw e;
        }
    }

    private static void closeAfter(Throwable cause, LogStore store) {
        try {
            store.close();
        } catch (HemlockrackException e) {
            cause.addSuppressed(e);
        }
    }

    /** Opens the store; a damaged one is replaced, and the instance rejoins as a new replica. */
    private LogStore open() {
        try {
            return LogStore.open(mFolder, mRandom);
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.STORAGE_DAMAGED) {
                throw e;
            }
            mListener.onDamaged(e);
            return LogStore.openDamaged(mFolder, mRandom);
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw HemlockrackException.of(
                    ErrorKind.NOT_READY, "interrupted while the storage was not available", e);
        }
    }
}
