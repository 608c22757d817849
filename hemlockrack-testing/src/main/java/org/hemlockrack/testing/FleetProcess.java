package org.hemlockrack.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a test fleet that was started here. */
public final class FleetProcess implements AutoCloseable {
    private static final long EXIT_WAIT_SECONDS = 30;

    private final String mName;
    private final Path mLog;
    private Process mProcess;
    private final List<String> mCommand;

    private FleetProcess(String name, Path log, List<String> command) {
        mName = name;
        mLog = log;
        mCommand = command;
    }

    /**
     * Starts a Java program with the class path of this process.
     *
     * @param name name for messages
     * @param log file that takes its output
     * @param maxHeap largest heap, such as {@code 256m}
     * @param mainClass its main class
     * @param args its arguments
     * @return the running process
     */
    public static FleetProcess start(
            String name, Path log, String maxHeap, String mainClass, List<String> args) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + maxHeap);
        command.add("-XX:TieredStopAtLevel=" + System.getProperty("fleet.tier", "4"));
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        FleetProcess process = new FleetProcess(name, log, List.copyOf(command));
        process.restart();
        return process;
    }

    /** Starts the program again after it has ended. */
    public void restart() {
        try {
            mProcess =
                    new ProcessBuilder(mCommand)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /**
     * Sends a signal.
     *
     * @param signal its name, such as {@code STOP}
     */
    public void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the process with SIGKILL and waits for it. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /**
     * Waits for the end of the process.
     *
     * @return its exit code
     */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mName + " did not end; log: " + log());
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns the output so far. */
    public String log() {
        try {
            return Files.readString(mLog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
        awaitExit();
    }
}
