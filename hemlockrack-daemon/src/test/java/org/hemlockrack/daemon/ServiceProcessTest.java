package org.hemlockrack.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ServiceProcessTest {
    private static final String SETTINGS =
            """
            [instance]
            id = "g1"
            zone = "a"
            role = "gateway"
            [listen]
            callers = "127.0.0.1:1"
            operators = "127.0.0.1:2"
            """;

    @TempDir private Path mFolder;

    /** A process of which an error ends one thread. */
    static final class LosesThread {
        private LosesThread() {}

        public static void main(String[] args) throws InterruptedException {
            ServiceProcess.run(
                    "test",
                    args,
                    options -> {
                        Thread thread = new Thread(LosesThread::fail, "injected");
                        thread.start();
                        return () -> {};
                    });
        }

        private static void fail() {
            throw new OutOfMemoryError("injected");
        }
    }

    /** Guards against a process that says it is ready although one of its threads has ended. */
    @Test
    void processExitsWhenItLosesAThread() throws IOException, InterruptedException {
        Path settings = Files.writeString(mFolder.resolve("settings.toml"), SETTINGS);
        Path output = mFolder.resolve("output.txt");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LosesThread.class.getName(),
                                "--config",
                                settings.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process goes on");
            assertEquals(ServiceProcess.EXIT_THREAD_LOST, process.exitValue());
            assertTrue(Files.readString(output).contains("thread injected ended"));
        } finally {
            process.destroyForcibly();
        }
    }
}
