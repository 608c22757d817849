package org.hemlockrack.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Stops a roll-out; all traffic returns to the version that was in use. */
public final class RolloutStopCommand extends Command {
    private String mService = "";
    private String mModel = "";
    private String mReason = "";

    /**
     * Sets the model whose roll-out is stopped.
     *
     * @param service the service
     * @param model name of the model
     * @return this command
     */
    public RolloutStopCommand setModel(String service, String model) {
        mService = service;
        mModel = model;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("stop a roll-out and return to the version in use");
        parser.addArgument("service");
        parser.addArgument("model");
        parser.addArgument("--reason").setDefault("").help("reason for the history");
    }

    @Override
    void readOptions(Namespace options) {
        setModel(options.getString("service"), options.getString("model"));
        mReason = options.getString("reason");
    }

    @Override
    public int call() {
        String reason = URLEncoder.encode(mReason, StandardCharsets.UTF_8);
        OperatorClient.Response response =
                send(
                        "DELETE",
                        "/operator/v1/rollouts/" + mService + "/" + mModel + "?reason=" + reason);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        out().println(isJson() ? response.body() : "stopped");
        return EXIT_SUCCESS;
    }
}
