package org.hemlockrack.daemon;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.hemlockrack.daemon.log.LogFormat;
import org.hemlockrack.daemon.log.ShutdownSafeLogManager;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Runs one instance as a process: parses arguments, loads settings, sets up logs and shutdown. */
public final class ServiceProcess {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** Exit code of a process that lost one of its threads. */
    static final int EXIT_THREAD_LOST = 4;

    private static volatile boolean sStopping;

    private ServiceProcess() {}

    /** A running instance that can be stopped gracefully. */
    public interface Instance {
        /** Stops gracefully; returns once the process may end. */
        void shutDown();
    }

    /** Starts an instance. */
    public interface Starter extends Function<StartOptions, Instance> {}

    /**
     * Options for the start of an instance.
     *
     * @param settings validated settings
     * @param file the settings file
     */
    public record StartOptions(Settings settings, Path file) {}

    /**
     * Runs an instance until SIGTERM or SIGINT, then stops it gracefully with exit code 0.
     *
     * @param program name of the program
     * @param args {@code --config FILE}
     * @param starter starts the instance
     * @throws InterruptedException if interrupted
     */
    public static void run(String program, String[] args, Starter starter)
            throws InterruptedException {
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        ArgumentParser parser =
                ArgumentParsers.newFor(program)
                        // Terminal width detection would start another process.
                        .terminalWidthDetection(false)
                        .build()
                        .description("Runs one instance of the hemlockrack router fleet.");
        parser.addArgument("--config").required(true).help("settings file (TOML)");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("check the settings and exit");
        try {
            run(parser.parseArgs(args), starter);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (HemlockrackException e) {
            System.err.println(program + ": " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static void run(Namespace options, Starter starter) throws InterruptedException {
        Path file = Path.of(options.getString("config"));
        Settings settings = Settings.load(file);
        if (options.getBoolean("check")) {
            System.out.println("settings are valid");
            return;
        }
        LogFormat.of(settings.text(SettingKey.LOG_FORMAT)).install();
        Thread.setDefaultUncaughtExceptionHandler(ServiceProcess::exitAfterLoss);
        AtomicReference<Instance> started = new AtomicReference<>();
        Thread shutdown = new Thread(() -> shutDown(started.get()), "shutdown");
        // A start waits while its disk cannot be used; it can be stopped meanwhile.
        Runtime.getRuntime().addShutdownHook(shutdown);
        try {
            started.set(starter.apply(new StartOptions(settings, file)));
        } catch (HemlockrackException e) {
            if (!sStopping) {
                Runtime.getRuntime().removeShutdownHook(shutdown);
            }
            throw e;
        }
        Thread.currentThread().join();
    }

    private static void shutDown(@Nullable Instance instance) {
        sStopping = true;
        try {
            if (instance != null) {
                instance.shutDown();
            }
        } finally {
            // Otherwise the exit code would be that of the signal.
            Runtime.getRuntime().halt(0);
        }
    }

    /**
     * Ends the process after an exception has ended one of its threads. Without the thread, a part
     * of the instance no longer answers while the others still report that it is ready. Pools that
     * replace their threads set handlers of their own.
     */
    private static void exitAfterLoss(Thread thread, Throwable cause) {
        if (sStopping) {
            return;
        }
        try {
            System.err.println("the process exits, as thread " + thread.getName() + " ended");
            cause.printStackTrace();
        } finally {
            Runtime.getRuntime().halt(EXIT_THREAD_LOST);
        }
    }
}
