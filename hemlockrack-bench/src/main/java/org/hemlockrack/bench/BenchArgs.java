package org.hemlockrack.bench;

/** Parses arguments that several benchmarks share. */
final class BenchArgs {
    private BenchArgs() {}

    /** Returns the number after {@code --seed}, or 1 if there is none. */
    static long parseSeed(String[] args) {
        for (int i = 0; i + 1 < args.length; i++) {
            if (args[i].equals("--seed")) {
                return Long.parseLong(args[i + 1]);
            }
        }
        return 1;
    }
}
