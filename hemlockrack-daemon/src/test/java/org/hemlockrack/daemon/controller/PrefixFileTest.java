package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.wire.PrefixUseData;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PrefixFileTest {
    @TempDir Path mFolder;
    private final DecisionLog mLog = DecisionLog.open("i", OutputStream.nullOutputStream());

    /**
     * Guards against forgetting, when all controllers restart, which servers have cached a prompt.
     */
    @Test
    void usesSurviveARestart() {
        List<PrefixUseData> uses = List.of(new PrefixUseData(7, "a"), new PrefixUseData(8, "b"));
        try (EventLoop loop = EventLoop.open("disk", cause -> {})) {
            PrefixFile.of(mFolder, loop, mLog).save(uses);
            loop.submit(() -> true).join();
            assertEquals(uses, PrefixFile.of(mFolder, loop, mLog).load());
        }
    }

    /** Guards against a failing start after a power failure has left an incomplete file. */
    @Test
    void corruptFileIsIgnored() throws IOException {
        Files.write(mFolder.resolve("prefixes"), new byte[] {1, 2, 3});
        try (EventLoop loop = EventLoop.open("disk", cause -> {})) {
            assertEquals(List.of(), PrefixFile.of(mFolder, loop, mLog).load());
        }
    }
}
