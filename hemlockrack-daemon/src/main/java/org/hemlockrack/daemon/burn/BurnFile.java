package org.hemlockrack.daemon.burn;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import org.hemlockrack.burn.BurnAccounts;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.jspecify.annotations.Nullable;

/** Keeps the accounts of an instance over a restart. Safe for use from any thread. */
final class BurnFile {
    private final Path mFile;
    private final Executor mDisk;
    private final EventLog mLog;

    /** The contents to be written next; null if none wait. */
    private final AtomicReference<byte @Nullable []> mNext = new AtomicReference<>();

    private BurnFile(Path file, Executor disk, EventLog log) {
        mFile = file;
        mDisk = disk;
        mLog = log;
    }

    /**
     * Returns the file of a path. Nothing is read or written yet.
     *
     * @param file the path
     * @param disk runs the writes one after the other; may wait for the disk
     * @param log receives read and write failures
     * @return the file
     */
    static BurnFile of(Path file, Executor disk, EventLog log) {
        return new BurnFile(file, disk, log);
    }

    /** Returns the accounts that were saved last; empty ones if the file cannot be read. */
    BurnAccounts load() {
        if (!Files.exists(mFile)) {
            return BurnAccounts.create();
        }
        try {
            return BurnAccounts.decode(Files.readAllBytes(mFile));
        } catch (IOException | HemlockrackException e) {
            mLog.log(LogEvent.BURN_FILE_REFUSED, "%s: %s", mFile, e.getMessage());
            return BurnAccounts.create();
        }
    }

    /**
     * Replaces the contents asynchronously. While an earlier write waits for the disk, only the
     * newest contents are kept.
     *
     * @param contents the encoded accounts
     */
    void save(byte[] contents) {
        if (mNext.getAndSet(contents) == null) {
            mDisk.execute(this::write);
        }
    }

    /** Writes a new file that replaces the old one only when it is complete. */
    private void write() {
        byte[] contents = mNext.getAndSet(null);
        if (contents == null) {
            return;
        }
        Path temporary = mFile.resolveSibling(mFile.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(contents);
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
            Files.move(temporary, mFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            mLog.log(LogEvent.BURN_FILE_REFUSED, "%s cannot be written: %s", mFile, e);
        }
    }
}
