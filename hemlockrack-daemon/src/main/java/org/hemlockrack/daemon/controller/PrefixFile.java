package org.hemlockrack.daemon.controller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.PrefixListData;
import org.hemlockrack.wire.PrefixUseData;

/**
 * Saves the prefix uses over a restart of the controller, because backend servers keep their caches
 * meanwhile. The file is not synced: what is lost in a power failure only costs cache hits. It is
 * written on a separate thread, which may wait for the disk.
 */
final class PrefixFile {
    private static final String FILE_NAME = "prefixes";
    private static final int MAX_BYTES = 8 << 20;

    private final Path mFile;
    private final EventLoop mLoop;
    private final DecisionLog mLog;
    private boolean mLastWriteFailed;

    private PrefixFile(Path file, EventLoop loop, DecisionLog log) {
        mFile = file;
        mLoop = loop;
        mLog = log;
    }

    /**
     * Returns the file of a folder. Nothing is read or written yet.
     *
     * @param folder folder of the file
     * @param loop runs the writes; may wait for the disk
     * @param log receives read and write failures
     * @return the file
     */
    static PrefixFile of(Path folder, EventLoop loop, DecisionLog log) {
        return new PrefixFile(folder.resolve(FILE_NAME), loop, log);
    }

    /** Returns the uses that were saved last; empty if the file is missing or cannot be read. */
    List<PrefixUseData> load() {
        if (!Files.exists(mFile)) {
            return List.of();
        }
        try {
            byte[] bytes = Files.readAllBytes(mFile);
            return StructCodec.decode(bytes, MAX_BYTES, new PrefixListData()).getUses();
        } catch (IOException | HemlockrackException e) {
            mLog.instanceEvent("prefixes_unreadable").put("cause", e.toString()).write();
            return List.of();
        }
    }

    /** Replaces the contents of the file asynchronously. */
    void save(List<PrefixUseData> uses) {
        mLoop.execute(() -> write(StructCodec.encode(new PrefixListData(uses))));
    }

    private void write(byte[] bytes) {
        Path next = mFile.resolveSibling(FILE_NAME + ".next");
        try {
            Files.write(next, bytes);
            Files.move(next, mFile, StandardCopyOption.REPLACE_EXISTING);
            mLastWriteFailed = false;
        } catch (IOException e) {
            if (!mLastWriteFailed) {
                mLog.instanceEvent("prefixes_not_saved").put("cause", e.toString()).write();
            }
            mLastWriteFailed = true;
        }
    }
}
