package org.hemlockrack.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.hemlockrack.errors.HemlockrackException;

/** Entry point of the command-line tool. */
public final class Main {
    static final int EXIT_USAGE = 2;

    private final ArgumentParser mParser =
            ArgumentParsers.newFor("hemlockrack")
                    .build()
                    .description("Operates a hemlockrack router fleet.");
    private final Map<String, Command> mCommands = new LinkedHashMap<>();

    private Main() {
        Subparsers top = mParser.addSubparsers().dest("command").metavar("COMMAND");
        Subparsers config = group(top, "config", "read and change the configuration");
        add(config, "config get", new ConfigGetCommand());
        add(config, "config check", new ConfigCheckCommand());
        add(config, "config patch", new ConfigPatchCommand());
        add(config, "config history", new ConfigHistoryCommand());
        add(config, "config wait", new ConfigWaitCommand());
        add(top, "status", new StatusCommand());
        add(top, "instances", new InstancesCommand());
        add(top, "backends", new BackendsCommand());
        Subparsers zone = group(top, "zone", "take availability zones out and in");
        add(zone, "zone out", ZoneCommand.of("out"));
        add(zone, "zone in", ZoneCommand.of("in"));
        add(top, "drain", DrainCommand.of("drain"));
        add(top, "undrain", DrainCommand.of("undrain"));
        Subparsers rollout = group(top, "rollout", "move traffic between model versions");
        add(rollout, "rollout start", new RolloutStartCommand());
        add(rollout, "rollout status", new RolloutStatusCommand());
        add(rollout, "rollout stop", new RolloutStopCommand());
        Subparsers report = group(top, "report", "print reports");
        add(report, "report burn", new ReportBurnCommand());
    }

    private static Subparsers group(Subparsers top, String name, String help) {
        return top.addParser(name).help(help).addSubparsers().dest("action").metavar("ACTION");
    }

    private void add(Subparsers group, String path, Command command) {
        String name = path.substring(path.lastIndexOf(' ') + 1);
        Subparser parser = group.addParser(name);
        command.declareAll(parser);
        parser.setDefault("path", path);
        mCommands.put(path, command);
    }

    /**
     * Runs a command line.
     *
     * @param args the arguments
     * @param out takes results
     * @param err takes faults
     * @return exit code: 0 done, 1 refused or failed, 2 usage
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        Main main = new Main();
        Namespace options;
        try {
            options = main.mParser.parseArgs(args);
        } catch (ArgumentParserException e) {
            main.mParser.handleError(e);
            return EXIT_USAGE;
        }
        try {
            Command command = main.mCommands.get(options.getString("path"));
            return command.setOutput(out, err).takeAll(options).call();
        } catch (HemlockrackException e) {
            err.println("hemlockrack: " + e.kind() + ": " + e.getMessage());
            return Command.EXIT_FAILED;
        }
    }

    /**
     * Runs the tool and exits.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }
}
