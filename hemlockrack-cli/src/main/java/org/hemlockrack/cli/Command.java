package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/** One command: its options are set from the command line or by setters, then it is run. */
public abstract class Command {
    static final int EXIT_SUCCESS = 0;
    static final int EXIT_FAILED = 1;

    /** Limits how much of an unexpected response is printed, such as another server's HTML page. */
    private static final int MAX_SHOWN_CHARS = 200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private String mAddress = "127.0.0.1:8083";
    private boolean mJson;
    private PrintStream mOut = System.out;
    private PrintStream mErr = System.err;

    /**
     * Sets the instance to which requests are sent.
     *
     * @param address {@code ip:port} of its operator port
     * @return this command
     */
    public Command setAddress(String address) {
        mAddress = address;
        return this;
    }

    /**
     * Sets whether results and errors are printed as JSON.
     *
     * @param json true for JSON
     * @return this command
     */
    public Command setJson(boolean json) {
        mJson = json;
        return this;
    }

    /**
     * Sets the output streams.
     *
     * @param out stream for results, and for errors in JSON
     * @param err stream for errors in text form
     * @return this command
     */
    public Command setOutput(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
        return this;
    }

    /** Declares the options of this command on its argument parser. */
    abstract void declareOptions(Subparser parser);

    /** Reads the options of this command from the parsed command line. */
    abstract void readOptions(Namespace options);

    /**
     * Runs the command.
     *
     * @return the exit code
     */
    public abstract int call();

    final void declareAllOptions(Subparser parser) {
        parser.addArgument("--address")
                .setDefault(mAddress)
                .help("ip:port of an instance's operator port");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        declareOptions(parser);
    }

    /**
     * Reads the common options and those of this command from the parsed command line.
     *
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the address is malformed,
     *     which is a usage error
     */
    final Command readAllOptions(Namespace options) {
        mAddress = options.getString("address");
        OperatorClient.of(mAddress);
        mJson = options.getBoolean("json");
        readOptions(options);
        return this;
    }

    final boolean isJson() {
        return mJson;
    }

    final String address() {
        return mAddress;
    }

    final PrintStream out() {
        return mOut;
    }

    final PrintStream err() {
        return mErr;
    }

    /** Encodes a name, which may contain slashes, as one path segment. */
    static String encodePathSegment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    final OperatorClient.Response send(String method, String path) {
        return send(method, path, List.of(), null);
    }

    /** Sends a request whose response the instance may delay. */
    final OperatorClient.Response sendAndWait(String method, String path, long waitMillis) {
        return OperatorClient.of(mAddress)
                .addWaitMillis(waitMillis)
                .send(method, path, List.of(), null);
    }

    final OperatorClient.Response send(
            String method, String path, List<OperatorClient.HeaderField> headers, String body) {
        return OperatorClient.of(mAddress).send(method, path, headers, body);
    }

    /** Prints an error response and returns the exit code for it. */
    final int printErrorResponse(OperatorClient.Response response) {
        return printErrorResponse(response, "");
    }

    /**
     * Prints an error response, with a hint if the outcome is unknown, and returns the exit code.
     */
    final int printErrorResponse(OperatorClient.Response response, String unknownHint) {
        JsonNode json = parse(response.body());
        JsonNode error = json.path("error");
        if (!error.isObject()) {
            throw unexpectedResponse(response.body(), null);
        }
        if (mJson) {
            mOut.println(response.body());
            return EXIT_FAILED;
        }
        mErr.println(
                "hemlockrack: "
                        + error.path("kind").asText()
                        + ": "
                        + error.path("message").asText());
        for (JsonNode validationError : json.path("faults")) {
            mErr.println("  " + validationError.asText());
        }
        boolean isOutcomeUnknown = error.path("ran").asText().equals(RunState.UNKNOWN.wireName());
        if (isOutcomeUnknown && !unknownHint.isEmpty()) {
            mErr.println("  " + unknownHint);
        }
        return EXIT_FAILED;
    }

    /** Prints an error that occurred in this process and returns the exit code for it. */
    final int printError(HemlockrackException cause) {
        if (mJson) {
            ObjectNode json = JSON.createObjectNode();
            ObjectNode error = json.putObject("error");
            error.put("kind", cause.kind().name());
            error.put("message", cause.getMessage());
            error.put("ran", cause.kind().runState().wireName());
            mOut.println(json);
            return EXIT_FAILED;
        }
        mErr.println("hemlockrack: " + cause.kind() + ": " + cause.getMessage());
        return EXIT_FAILED;
    }

    static ObjectNode emptyJson() {
        return JSON.createObjectNode();
    }

    static JsonNode parse(String body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw unexpectedResponse(body, e);
        }
    }

    private static HemlockrackException unexpectedResponse(String body, @Nullable Throwable cause) {
        String start = body.length() > MAX_SHOWN_CHARS ? body.substring(0, MAX_SHOWN_CHARS) : body;
        String text = "the response is not one of an operator port: \"" + start + "\"";
        return cause == null
                ? HemlockrackException.of(ErrorKind.INTERNAL, text)
                : HemlockrackException.of(ErrorKind.INTERNAL, text, cause);
    }
}
