package org.hemlockrack.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Entry point of the command-line tool. */
public final class Main {
    static final int EXIT_USAGE = 2;

    private final ArgumentParser mParser =
            ArgumentParsers.newFor("hemlockrack")
                    .addHelp(false)
                    .build()
                    .description("Operates a hemlockrack router fleet.");
    private final Map<String, Command> mCommands = new LinkedHashMap<>();

    private Main() {
        HelpAction.addTo(mParser);
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
        Subparsers zone = group(top, "zone", "take availability zones out of service or back in");
        add(zone, "zone out", ZoneCommand.of("out"));
        add(zone, "zone in", ZoneCommand.of("in"));
        add(top, "drain", DrainCommand.of("drain"));
        add(top, "undrain", DrainCommand.of("undrain"));
        Subparsers voters = group(top, "voters", "list and change the voters");
        add(voters, "voters list", new VotersListCommand());
        add(voters, "voters add", VotersChangeCommand.of("add"));
        add(voters, "voters remove", VotersChangeCommand.of("remove"));
        Subparsers quarantine = group(top, "quarantine", "list and lift held prompt parts");
        add(quarantine, "quarantine list", new QuarantineListCommand());
        add(quarantine, "quarantine lift", new QuarantineLiftCommand());
        Subparsers rollout = group(top, "rollout", "move traffic between model versions");
        add(rollout, "rollout start", new RolloutStartCommand());
        add(rollout, "rollout status", new RolloutStatusCommand());
        add(rollout, "rollout stop", new RolloutStopCommand());
        Subparsers report = group(top, "report", "print reports");
        add(report, "report burn", new ReportBurnCommand());
        Subparsers storage = group(top, "storage", "inspect the files of a replica");
        add(storage, "storage check", new StorageCheckCommand());
        add(top, "explain", new ExplainCommand());
        add(top, "route", new RouteCommand());
    }

    private static Subparsers group(Subparsers top, String name, String help) {
        Subparser parser = top.addParser(name, false).help(help);
        HelpAction.addTo(parser);
        return parser.addSubparsers().dest("action").metavar("ACTION");
    }

    private void add(Subparsers group, String path, Command command) {
        String name = path.substring(path.lastIndexOf(' ') + 1);
        Subparser parser = group.addParser(name, false);
        HelpAction.addTo(parser);
        command.declareAllOptions(parser);
        parser.setDefault("path", path);
        mCommands.put(path, command);
    }

    /**
     * Runs a command line.
     *
     * @param args the arguments
     * @param out stream for results
     * @param err stream for errors
     * @return exit code: 0 success, 1 rejected or failed, 2 usage error
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        Command command;
        try {
            command = new Main().parse(args, out, err);
        } catch (HemlockrackException e) {
            err.println("hemlockrack: " + e.getMessage());
            return EXIT_USAGE;
        } catch (HelpScreenException e) {
            out.print(e.getParser().formatHelp());
            return Command.EXIT_SUCCESS;
        } catch (ArgumentParserException e) {
            PrintWriter writer = new PrintWriter(err);
            e.getParser().handleError(e, writer);
            writer.flush();
            return EXIT_USAGE;
        }
        try {
            return command.call();
        } catch (HemlockrackException e) {
            return command.printError(e);
        }
    }

    private Command parse(String[] args, PrintStream out, PrintStream err)
            throws ArgumentParserException {
        Namespace options = mParser.parseArgs(args);
        @Nullable Command command = mCommands.get(options.getString("path"));
        if (command == null) {
            throw new ArgumentParserException("the command is missing", mParser);
        }
        return command.setOutput(out, err).readAllOptions(options);
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
