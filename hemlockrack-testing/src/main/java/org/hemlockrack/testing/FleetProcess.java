package org.hemlockrack.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process of a test fleet, with its output in a log file. */
public final class FleetProcess implements AutoCloseable {
    private static final long EXIT_WAIT_SECONDS = 30;

    private final String mName;
    private final Path mLogFile;
    private Process mProcess;
    private final List<String> mCommand;

    private FleetProcess(String name, Path logFile, List<String> command) {
        mName = name;
        mLogFile = logFile;
        mCommand = command;
    }

    /**
     * Starts a Java program with the class path of this process.
     *
     * @param name process name for error messages
     * @param logFile file to which standard output and standard error are appended
     * @param maxHeap maximum heap size, such as {@code 256m}
     * @param mainClass main class
     * @param args command line arguments
     * @return the running process
     */
    public static FleetProcess start(
            String name, Path logFile, String maxHeap, String mainClass, List<String> args) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + maxHeap);
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=" + System.getProperty("fleet.tier", "4"));
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(args);
        FleetProcess process = new FleetProcess(name, logFile, List.copyOf(command));
        process.restart();
        return process;
    }

    /** Starts the program again with the same arguments after it has exited. */
    public void restart() {
        try {
            mProcess =
                    new ProcessBuilder(mCommand)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLogFile.toFile()))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the id of the current process; a restart changes it. */
    public long pid() {
        return mProcess.pid();
    }

    /** Returns whether the process is running. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /**
     * Sends a signal to the process.
     *
     * @param signal name without {@code SIG}, such as {@code STOP}
     */
    public void sendSignal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    public void kill() {
        mProcess.destroyForcibly();
        awaitExit();
    }

    /**
     * Waits until the process has exited.
     *
     * @return its exit code
     * @throws IllegalStateException if it does not exit within 30 s
     */
    public int awaitExit() {
        try {
            if (!mProcess.waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException(mName + " did not exit; log: " + readLog());
            }
            return mProcess.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns all output so far, including that of earlier runs. */
    public String readLog() {
        try {
            return Files.readString(mLogFile);
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
