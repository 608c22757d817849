package org.hemlockrack.daemon.burn;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Queue;
import org.hemlockrack.burn.BurnAccounts;
import org.hemlockrack.daemon.log.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BurnFileTest {
    @TempDir private Path mFolder;
    private final Queue<Runnable> mStalledWrites = new ArrayDeque<>();

    /** Guards against an instance whose decisions wait while the disk does not answer. */
    @Test
    void aDiskThatStallsDelaysOnlyTheWrites() throws IOException {
        Path path = mFolder.resolve("burn");
        BurnFile file = BurnFile.of(path, mStalledWrites::add, EventLog.create());
        byte[] newest = BurnAccounts.create().encode();
        file.save(new byte[] {1});
        file.save(newest);
        assertFalse(Files.exists(path));
        assertEquals(1, mStalledWrites.size());
        mStalledWrites.remove().run();
        assertArrayEquals(newest, Files.readAllBytes(path));
        file.save(newest);
        assertEquals(1, mStalledWrites.size());
    }

    /** Guards against a daemon that does not start because the file of its accounts is damaged. */
    @Test
    void aDamagedFileStartsTheAccountsAnew() throws IOException {
        Path path = Files.write(mFolder.resolve("burn"), new byte[] {1, 2, 3});
        BurnFile file = BurnFile.of(path, Runnable::run, EventLog.create());
        assertArrayEquals(BurnAccounts.create().encode(), file.load().encode());
    }
}
