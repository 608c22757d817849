package org.hemlockrack.testing;

import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Options of a stand-in backend server.
 *
 * @param id backend server id
 * @param zone availability zone
 * @param service service it serves
 * @param kind {@code model} or {@code plain}
 * @param model model it has loaded, for kind {@code model}
 * @param version version of the model
 * @param announceTo addresses of instances' backend ports
 * @param port port to listen on, 0 for a free one
 * @param advertised address it announces, empty for the one it listens on
 * @param limit concurrent requests it states it can bear
 * @param tokenMillis time between two tokens
 * @param tokens tokens in an answer
 * @param prefillMillis time to first token without a cached prefix
 * @param cacheChats chats whose prefix fits the cache
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param errorRate share of requests answered with status 500
 */
public record BackendOptions(
        String id,
        String zone,
        String service,
        String kind,
        String model,
        String version,
        List<String> announceTo,
        int port,
        String advertised,
        int limit,
        int tokenMillis,
        int tokens,
        int prefillMillis,
        int cacheChats,
        boolean checksFencing,
        double errorRate) {

    /**
     * Parses command line arguments; prints help and exits with 2 on a usage fault.
     *
     * @param args the arguments
     * @return the options
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
