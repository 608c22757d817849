package org.hemlockrack.daemon;

import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.hemlockrack.daemon.log.LastingLogManager;
import org.hemlockrack.daemon.log.LogFormat;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.errors.HemlockrackException;

/** Entry point of the daemon. */
public final class Main {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs an instance until SIGTERM or SIGINT, then stops it gracefully with exit code 0.
     *
     * @param args {@code --config FILE}
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        ArgumentParser parser =
                ArgumentParsers.newFor("hemlockrackd")
                        .build()
                        .description("Runs one instance of the hemlockrack router fleet.");
        parser.addArgument("--config").required(true).help("settings file (TOML)");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("check the settings and exit");
        try {
            run(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
        } catch (HemlockrackException e) {
            System.err.println("hemlockrackd: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static void run(Namespace options) throws InterruptedException {
        Settings settings = Settings.load(Path.of(options.getString("config")));
        if (options.getBoolean("check")) {
            System.out.println("settings are valid");
            return;
        }
        LogFormat.of(settings.text(SettingKey.LOG_FORMAT)).install();
        Daemon daemon = Daemon.open(settings);
        Thread shutdown =
                new Thread(
                        () -> {
                            daemon.shutDown();
                            // A signal would otherwise end the process with its own exit code.
                            Runtime.getRuntime().halt(0);
                        },
                        "shutdown");
        Runtime.getRuntime().addShutdownHook(shutdown);
        Thread.currentThread().join();
    }
}
