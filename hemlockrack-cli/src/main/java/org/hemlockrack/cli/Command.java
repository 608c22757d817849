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

/** One command: options are set from the command line or by setters, then it is called. */
public abstract class Command {
    static final int EXIT_DONE = 0;
    static final int EXIT_FAILED = 1;

    /** A foreign server may answer with a whole page; its start is enough to recognise it. */
    private static final int MAX_SHOWN_CHARS = 200;

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

    /**
     * Takes all options.
     *
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if an option is malformed,
     *     which is a usage fault
     */
    final Command takeAll(Namespace options) {
        mAddress = options.getString("address");
        OperatorClient.of(mAddress);
        mJson = options.getBoolean("json");
        take(options);
        return this;
    }

    final boolean json() {
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

    /** Returns a name as one segment of a path; names may hold slashes. */
    static String segment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    final OperatorClient.Answer send(String method, String path) {
        return send(method, path, List.of(), null);
    }

    /** Sends a request that the instance answers only after a wait. */
    final OperatorClient.Answer sendAndWait(String method, String path, long waitMillis) {
        return OperatorClient.of(mAddress)
                .addWaitMillis(waitMillis)
                .send(method, path, List.of(), null);
    }

    final OperatorClient.Answer send(
            String method, String path, List<OperatorClient.Field> fields, String body) {
        return OperatorClient.of(mAddress).send(method, path, fields, body);
    }

    /** Prints a refusal and returns the exit code for it. */
    final int refused(OperatorClient.Answer answer) {
        return refused(answer, "");
    }

    /** Prints a refusal, with a hint if the outcome is unknown, and returns the exit code. */
    final int refused(OperatorClient.Answer answer, String unknownHint) {
        JsonNode json = parse(answer.body());
        JsonNode error = json.path("error");
        if (!error.isObject()) {
            throw notOurs(answer.body(), null);
        }
        if (mJson) {
            mOut.println(answer.body());
            return EXIT_FAILED;
        }
        mErr.println(
                "hemlockrack: "
                        + error.path("kind").asText()
                        + ": "
                        + error.path("message").asText());
        for (JsonNode fault : json.path("faults")) {
            mErr.println("  " + fault.asText());
        }
        boolean unknown = error.path("ran").asText().equals(RunState.UNKNOWN.wireName());
        if (unknown && !unknownHint.isEmpty()) {
            mErr.println("  " + unknownHint);
        }
        return EXIT_FAILED;
    }

    /** Prints a fault that this command met itself and returns the exit code for it. */
    final int failed(HemlockrackException fault) {
        if (mJson) {
            ObjectNode json = JSON.createObjectNode();
            ObjectNode error = json.putObject("error");
            error.put("kind", fault.kind().name());
            error.put("message", fault.getMessage());
            error.put("ran", fault.kind().runState().wireName());
            mOut.println(json);
            return EXIT_FAILED;
        }
        mErr.println("hemlockrack: " + fault.kind() + ": " + fault.getMessage());
        return EXIT_FAILED;
    }

    static ObjectNode emptyJson() {
        return JSON.createObjectNode();
    }

    static JsonNode parse(String body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw notOurs(body, e);
        }
    }

    private static HemlockrackException notOurs(String body, @Nullable Throwable cause) {
        String start = body.length() > MAX_SHOWN_CHARS ? body.substring(0, MAX_SHOWN_CHARS) : body;
        String text = "the answer is not one of an operator port: \"" + start + "\"";
        return cause == null
                ? HemlockrackException.of(ErrorKind.INTERNAL, text)
                : HemlockrackException.of(ErrorKind.INTERNAL, text, cause);
    }
}
