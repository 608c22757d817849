package org.hemlockrack.daemon;

/** Entry point of the daemon. */
public final class Main {
    private Main() {}

    /**
     * Runs an instance until SIGTERM or SIGINT, then stops it gracefully with exit code 0.
     *
     * @param args {@code --config FILE}
     * @throws InterruptedException if interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        ServiceProcess.run(
                "hemlockrackd", args, options -> Daemon.open(options.settings())::shutDown);
    }
}
