package org.hemlockrack.daemon.controller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.PrefixListData;
import org.hemlockrack.wire.PrefixUseData;

/**
 * Keeps the prefix uses over a restart, because backend servers keep their caches then. The file is
 * not synced: what a loss of power takes from it costs cached reads only. A thread of its own waits
 * for the disk.
 */
final class PrefixFile {
    private static final String NAME = "prefixes";
    private static final int MAX_BYTES = 8 << 20;

    private final Path mFile;
    private final Loop mLoop;
    private final DecisionLog mLog;
    private boolean mFailed;

    private PrefixFile(Path file, Loop loop, DecisionLog log) {
        mFile = file;
        mLoop = loop;
        mLog = log;
    }

    /**
     * Opens the file.
     *
     * @param folder folder of the file
     * @param loop runs the writes; may wait for the disk
     * @param log where failures are noted
     * @return the file
     */
    static PrefixFile of(Path folder, Loop loop, DecisionLog log) {
        return new PrefixFile(folder.resolve(NAME), loop, log);
    }

    /** Returns what was saved last, empty if nothing can be read. */
    List<PrefixUseData> load() {
        if (!Files.exists(mFile)) {
            return List.of();
        }
        try {
            byte[] bytes = Files.readAllBytes(mFile);
            return StructCodec.decode(bytes, MAX_BYTES, new PrefixListData()).getUses();
        } catch (IOException | HemlockrackException e) {
            mLog.state("prefixes_unreadable").put("cause", e.toString()).write();
            return List.of();
        }
    }

    /** Replaces the file soon. */
    void save(List<PrefixUseData> uses) {
        mLoop.execute(() -> write(StructCodec.encode(new PrefixListData(uses))));
    }

    private void write(byte[] bytes) {
        Path next = mFile.resolveSibling(NAME + ".next");
        try {
            Files.write(next, bytes);
            Files.move(next, mFile, StandardCopyOption.REPLACE_EXISTING);
            mFailed = false;
        } catch (IOException e) {
            if (!mFailed) {
                mLog.state("prefixes_not_saved").put("cause", e.toString()).write();
            }
            mFailed = true;
        }
    }
}
