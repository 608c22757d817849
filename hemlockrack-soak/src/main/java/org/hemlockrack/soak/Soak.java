package org.hemlockrack.soak;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command line program that runs the soak test with one seed after the other. The folder of a run
 * is kept if a guarantee was violated.
 */
public final class Soak {
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MAX_PRINTED = 10;

    /** What is done to the processes of a run. */
    private enum Scenario {
        /** Random faults of all kinds. */
        FAULTS {
            @Override
            SoakResult run(SoakOptions options, Path folder) {
                return SoakRun.run(options, folder);
            }
        },
        /** Planned stops of gateways, and no faults. */
        STOPS {
            @Override
            SoakResult run(SoakOptions options, Path folder) {
                return StopRun.run(options, folder);
            }
        };

        abstract SoakResult run(SoakOptions options, Path folder);

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private Soak() {}

    /**
     * Runs the soak test. Exits with status 1 if any run violated a guarantee.
     *
     * @param args see {@code --help}
     * @throws IOException if the folder of a run cannot be created or deleted
     */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser = ArgumentParsers.newFor("soak").build();
        parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of seeds");
        parser.addArgument("--first")
                .type(Long.class)
                .setDefault(new SplittableRandom().nextLong(1_000_000))
                .help("first seed; random by default");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(20)
                .help("how long faults are injected");
        parser.addArgument("--folder")
                .setDefault("target/soak")
                .help("where folders of failed runs are kept");
        parser.addArgument("--known").help("file with one seed per line; # starts a comment");
        parser.addArgument("--scenario")
                .type(Arguments.enumStringType(Scenario.class))
                .setDefault(Scenario.FAULTS)
                .help("what is done to the processes");
        parser.addArgument("--broken-variant")
                .action(Arguments.storeTrue())
                .help(
                        "commands may run twice, or gateways are killed early in a stop; the run"
                                + " must fail");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(runSeeds(options));
    }

    private static int runSeeds(Namespace options) throws IOException {
        int failedSeeds = 0;
        for (long seed : readSeeds(options)) {
            failedSeeds += runSeed(options, seed) ? 0 : 1;
        }
        System.out.printf("broken_seeds=%d%n", failedSeeds);
        return failedSeeds == 0 ? 0 : EXIT_VIOLATION;
    }

    private static List<Long> readSeeds(Namespace options) throws IOException {
        String file = options.getString("known");
        if (file != null) {
            return Files.readAllLines(Path.of(file)).stream()
                    .map(line -> line.replaceFirst("#.*", "").strip())
                    .filter(line -> !line.isEmpty())
                    .map(Long::valueOf)
                    .toList();
        }
        long first = options.getLong("first");
        return LongStream.range(first, first + options.getInt("seeds")).boxed().toList();
    }

    /** Runs one seed. Returns whether there was no violation. */
    private static boolean runSeed(Namespace options, long seed) throws IOException {
        Path folder = Path.of(options.getString("folder"), "seed-" + seed).toAbsolutePath();
        if (Files.exists(folder)) {
            MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        }
        Files.createDirectories(folder);
        int seconds = options.getInt("seconds");
        Scenario scenario = options.get("scenario");
        SoakResult result =
                scenario.run(
                        new SoakOptions(seed, seconds, options.getBoolean("broken_variant")),
                        folder);
        System.out.printf(
                "seed=%d faults=%d statuses=%s broken=%d%n",
                seed, result.faults(), result.statusCounts(), result.violations().size());
        result.violations().stream()
                .limit(MAX_PRINTED)
                .forEach(violation -> System.out.println("  " + violation));
        if (!result.violations().isEmpty()) {
            return false;
        }
        MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        return true;
    }
}
