package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** One command: options are set from the command line or by setters, then it is called. */
public abstract class Command {
    static final int EXIT_DONE = 0;
    static final int EXIT_FAILED = 1;

    private static final ObjectMapper JSON = new ObjectMapper();

    private String mAddress = "127.0.0.1:8083";
    private boolean mJson;
    private PrintStream mOut = System.out;
    private PrintStream mErr = System.err;

    /**
     * Sets the instance to ask.
     *
     * @param address {@code ip:port} of its operator port
     * @return this command
     */
    public Command setAddress(String address) {
        mAddress = address;
        return this;
    }

    /**
     * Sets whether the answer is printed as JSON.
     *
     * @param json true for JSON
     * @return this command
     */
    public Command setJson(boolean json) {
        mJson = json;
        return this;
    }

    /**
     * Sets where the command prints.
     *
     * @param out results
     * @param err faults
     * @return this command
     */
    public Command setOutput(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
        return this;
    }

    /** Declares the options of this command. */
    abstract void declare(Subparser parser);

    /** Takes the options of this command. */
    abstract void take(Namespace options);

    /**
     * Runs the command.
     *
     * @return the exit code
     */
    public abstract int call();

    final void declareAll(Subparser parser) {
        parser.addArgument("--address")
                .setDefault(mAddress)
                .help("ip:port of an instance's operator port");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        declare(parser);
    }

    final Command takeAll(Namespace options) {
        mAddress = options.getString("address");
        mJson = options.getBoolean("json");
        take(options);
        return this;
    }

    final boolean json() {
        return mJson;
    }

    final PrintStream out() {
        return mOut;
    }

    final OperatorClient.Answer send(String method, String path) {
        return OperatorClient.of(mAddress).send(method, path, List.of(), null);
    }

    final OperatorClient.Answer send(
            String method, String path, List<OperatorClient.Field> fields, String body) {
        return OperatorClient.of(mAddress).send(method, path, fields, body);
    }

    /** Prints a refusal and returns the exit code for it. */
    final int refused(OperatorClient.Answer answer) {
        if (mJson) {
            mOut.println(answer.body());
            return EXIT_FAILED;
        }
        JsonNode json = parse(answer.body());
        JsonNode error = json.path("error");
        mErr.println(
                "hemlockrack: "
                        + error.path("kind").asText()
                        + ": "
                        + error.path("message").asText());
        for (JsonNode fault : json.path("faults")) {
            mErr.println("  " + fault.asText());
        }
        return EXIT_FAILED;
    }

    static JsonNode parse(String body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.INTERNAL, "the instance did not answer in JSON: " + body, e);
        }
    }
}
