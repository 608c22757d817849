package org.hemlockrack.testing;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Command line options of a simulated backend server.
 *
 * @param id backend server id
 * @param zone availability zone
 * @param service service that it belongs to
 * @param kind {@code model} or {@code plain}
 * @param model model that it has loaded; only used for kind {@code model}
 * @param modelVersion version of the model that is loaded at the start
 * @param announceAddresses internal addresses of instances; the server announces itself to one of
 *     them
 * @param port port to listen on, 0 for a free one
 * @param advertisedAddress address that it announces, empty for the one that it listens on
 * @param concurrencyLimit number of concurrent requests that it announces as its limit
 * @param tokenMillis time between two tokens, and the duration of a command
 * @param answerTokens number of tokens in an answer, unless the request sets {@code max_tokens}
 * @param prefillMillis time to the first token without a cached prefix
 * @param maxCachedChats number of chats whose prefixes fit into the cache
 * @param checksFencing whether it refuses orders with an outdated fencing token
 * @param errorRate share of requests answered with status 500
 */
public record BackendOptions(
        String id,
        String zone,
        String service,
        String kind,
        String model,
        String modelVersion,
        List<String> announceAddresses,
        int port,
        String advertisedAddress,
        int concurrencyLimit,
        int tokenMillis,
        int answerTokens,
        int prefillMillis,
        int maxCachedChats,
        boolean checksFencing,
        double errorRate) {

    /**
     * Parses command line arguments. Prints a message and exits with status 2 if they are invalid.
     *
     * @param args the command line arguments
     * @return the parsed options
     */
    public static BackendOptions parse(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("stand-in-backend").build();
        parser.addArgument("--id").required(true);
        parser.addArgument("--zone").required(true);
        parser.addArgument("--service").required(true);
        parser.addArgument("--kind").choices("model", "plain").setDefault("model");
        parser.addArgument("--model").setDefault("assistant");
        parser.addArgument("--model-version").setDefault("v1");
        parser.addArgument("--announce").nargs("+").required(true);
        parser.addArgument("--port").type(Integer.class).setDefault(0);
        parser.addArgument("--advertise").setDefault("");
        parser.addArgument("--limit").type(Integer.class).setDefault(16);
        parser.addArgument("--token-ms").type(Integer.class).setDefault(5);
        parser.addArgument("--tokens").type(Integer.class).setDefault(8);
        parser.addArgument("--prefill-ms").type(Integer.class).setDefault(20);
        parser.addArgument("--cache-chats").type(Integer.class).setDefault(1_000);
        parser.addArgument("--checks-fencing").type(Boolean.class).setDefault(true);
        parser.addArgument("--error-rate").type(Double.class).setDefault(0.0);
        try {
            return of(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            throw new IllegalStateException(e);
        }
    }

    private static BackendOptions of(Namespace options) {
        return new BackendOptions(
                options.getString("id"),
                options.getString("zone"),
                options.getString("service"),
                options.getString("kind"),
                options.getString("model"),
                options.getString("model_version"),
                options.getList("announce"),
                options.getInt("port"),
                options.getString("advertise"),
                options.getInt("limit"),
                options.getInt("token_ms"),
                options.getInt("tokens"),
                options.getInt("prefill_ms"),
                options.getInt("cache_chats"),
                options.getBoolean("checks_fencing"),
                options.getDouble("error_rate"));
    }
}
