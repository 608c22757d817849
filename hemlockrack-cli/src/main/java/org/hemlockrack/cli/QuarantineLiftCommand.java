package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lets the requests with a prompt part pass again in the whole fleet. */
public final class QuarantineLiftCommand extends Command {
    private String mPart = "";

    /**
     * Sets the part.
     *
     * @param part its name, as listed
     * @return this command
     */
    public QuarantineLiftCommand setPart(String part) {
        mPart = part;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("let requests with a prompt part pass; --address is that of a controller");
        parser.addArgument("part").help("name of the part, as listed");
    }

    @Override
    void readOptions(Namespace options) {
        mPart = options.getString("part");
    }

    @Override
    public int call() {
        String path = "/operator/v1/quarantine/" + encodePathSegment(mPart) + "/lift";
        OperatorClient.Response response = send("POST", path);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        out().println(isJson() ? response.body() : "lifted");
        return EXIT_SUCCESS;
    }
}
