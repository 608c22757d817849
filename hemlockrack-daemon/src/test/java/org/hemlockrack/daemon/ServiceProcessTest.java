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

    private static final String OUTPUT = "output.txt";

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
        Process process = start(LosesThread.class);
        try {
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process goes on");
            assertEquals(ServiceProcess.EXIT_THREAD_LOST, process.exitValue());
            assertTrue(Files.readString(mFolder.resolve(OUTPUT)).contains("thread injected ended"));
        } finally {
            process.destroyForcibly();
        }
    }

    /** A process whose start waits, as while its disk cannot be used. */
    static final class WaitsInStart {
        private WaitsInStart() {}

        public static void main(String[] args) throws InterruptedException {
            ServiceProcess.run("test", args, options -> waitForever());
        }

        private static ServiceProcess.Instance waitForever() {
            System.out.println("waiting");
            try {
                Thread.sleep(Long.MAX_VALUE);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return () -> {};
        }
    }

    /** Guards against a stop, while the start waits for the disk, that looks like a crash. */
    @Test
    void processThatWaitsInItsStartStopsWithoutAnError() throws IOException, InterruptedException {
        Process process = start(WaitsInStart.class);
        try {
            Path output = mFolder.resolve(OUTPUT);
            for (int i = 0; i < 3_000 && !Files.readString(output).contains("waiting"); i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            process.destroy();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process goes on");
            assertEquals(0, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    private Process start(Class<?> program) throws IOException {
        Path settings = Files.writeString(mFolder.resolve("settings.toml"), SETTINGS);
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        program.getName(),
                        "--config",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(mFolder.resolve(OUTPUT).toFile())
                .start();
    }
}
