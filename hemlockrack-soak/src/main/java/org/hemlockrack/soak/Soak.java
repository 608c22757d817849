package org.hemlockrack.soak;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the soak: plays seeds one after the other and keeps the logs of broken ones. */
public final class Soak {
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MAX_PRINTED = 10;

    private Soak() {}

    /**
     * Plays seeds.
     *
     * @param args see {@code --help}
     * @throws IOException if the folder of a run cannot be written
     */
    public static void main(String[] args) throws IOException {
        ArgumentParser parser = ArgumentParsers.newFor("soak").build();
        parser.addArgument("--seeds").type(Integer.class).setDefault(1).help("number of seeds");
        parser.addArgument("--first")
                .type(Long.class)
                .setDefault(new SplittableRandom().nextLong(1_000_000))
                .help("first seed; a fresh one unless given");
        parser.addArgument("--seconds").type(Integer.class).setDefault(20).help("faults last");
        parser.addArgument("--folder").setDefault("target/soak").help("keeps logs of broken runs");
        parser.addArgument("--known").help("file with seeds, one a line; # starts a comment");
        parser.addArgument("--broken-variant")
                .action(Arguments.storeTrue())
                .help("commands may run twice; the run must be reported as broken");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_USAGE);
            return;
        }
        System.exit(play(options));
    }

    private static int play(Namespace options) throws IOException {
        int broken = 0;
        for (long seed : seeds(options)) {
            broken += play(options, seed) ? 0 : 1;
        }
        System.out.printf("broken_seeds=%d%n", broken);
        return broken == 0 ? 0 : EXIT_BROKEN;
    }

    private static List<Long> seeds(Namespace options) throws IOException {
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

    /** Plays one seed. Returns whether all promises held. */
    private static boolean play(Namespace options, long seed) throws IOException {
        Path folder = Path.of(options.getString("folder"), "seed-" + seed).toAbsolutePath();
        if (Files.exists(folder)) {
            MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        }
        Files.createDirectories(folder);
        int seconds = options.getInt("seconds");
        boolean variant = options.getBoolean("broken_variant");
        SoakResult result = SoakRun.run(new SoakOptions(seed, seconds, variant), folder);
        System.out.printf(
                "seed=%d faults=%d requests=%d served=%d broken=%d%n",
                seed, result.faults(), result.requests(), result.served(), result.broken().size());
        result.broken().stream()
                .limit(MAX_PRINTED)
                .forEach(what -> System.out.println("  " + what));
        if (!result.broken().isEmpty()) {
            return false;
        }
        MoreFiles.deleteRecursively(folder, RecursiveDeleteOption.ALLOW_INSECURE);
        return true;
    }
}
