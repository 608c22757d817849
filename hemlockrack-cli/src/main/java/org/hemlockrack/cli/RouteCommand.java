package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Asks a gateway where a request would go now. The request is not sent. */
public final class RouteCommand extends Command {
    private static final String STANDARD_INPUT = "-";
    private static final int NOT_FOUND = 404;

    private static final List<String> SERVER_COLUMNS =
            List.of("id", "zone", "address", "version", "load", "max_requests", "cold");

    private static final List<String> COST_COLUMNS =
            List.of(
                    "cost_load_pct",
                    "cost_work_pct",
                    "cost_prefix_pct",
                    "cost_zone_pct",
                    "cost_tie_pct");

    private InputStream mIn = System.in;
    private String mHost = "";
    private String mPath = "";
    private @Nullable String mKeyFile;
    private List<String> mPartIds = List.of();
    private @Nullable String mAttemptId;

    /**
     * Sets the request.
     *
     * @param host host without a port
     * @param path path without a query
     * @return this command
     */
    public RouteCommand setRequest(String host, String path) {
        mHost = host;
        mPath = path;
        return this;
    }

    /**
     * Sets where the bearer key is read from.
     *
     * @param file the file, or {@code -} for the input
     * @param in the input
     * @return this command
     */
    public RouteCommand setKeyFile(String file, InputStream in) {
        mKeyFile = file;
        mIn = in;
        return this;
    }

    /**
     * Sets the ids of the prompt's parts.
     *
     * @param ids the ids in order
     * @return this command
     */
    public RouteCommand setPartIds(List<String> ids) {
        mPartIds = List.copyOf(ids);
        return this;
    }

    /**
     * Sets the id of the attempt, which decides between versions and weighted services.
     *
     * @param id the id
     * @return this command
     */
    public RouteCommand setAttemptId(String id) {
        mAttemptId = id;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("print where a gateway would send a request now, without sending it");
        parser.addArgument("host").help("host of the request, without a port");
        // "path" is the name of the command in the parsed options.
        parser.addArgument("request_path")
                .metavar("path")
                .help("path of the request, without a query");
        parser.addArgument("--key-file")
                .metavar("FILE")
                .help("file with the bearer key; - for standard input");
        parser.addArgument("--part")
                .metavar("ID")
                .action(Arguments.append())
                .help("id of a part of the prompt; repeat it for each part, in order");
        parser.addArgument("--attempt").metavar("ID").help("id of the caller's attempt");
    }

    @Override
    void readOptions(Namespace options) {
        mHost = options.getString("host");
        mPath = options.getString("request_path");
        mKeyFile = options.getString("key_file");
        List<String> parts = options.getList("part");
        mPartIds = parts == null ? List.of() : List.copyOf(parts);
        mAttemptId = options.getString("attempt");
    }

    @Override
    public int call() {
        OperatorClient.Response response =
                send("POST", "/explain", List.of(), requestJson().toString());
        if (response.status() == NOT_FOUND) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    "the instance at "
                            + address()
                            + " does not say where requests would go; only instances with the"
                            + " role \"gateway\" and the setting operators.explain = true do");
        }
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
        } else {
            print(parse(response.body()));
        }
        return EXIT_SUCCESS;
    }

    private ObjectNode requestJson() {
        ObjectNode json = emptyJson();
        json.put("host", mHost);
        json.put("path", mPath);
        if (mKeyFile != null) {
            json.put("key", readKey(mKeyFile));
        }
        if (!mPartIds.isEmpty()) {
            ArrayNode parts = json.putArray("prompt_part_ids");
            mPartIds.forEach(parts::add);
        }
        if (mAttemptId != null) {
            json.put("attempt_id", mAttemptId);
        }
        return json;
    }

    private String readKey(String file) {
        try {
            byte[] bytes =
                    file.equals(STANDARD_INPUT)
                            ? mIn.readAllBytes()
                            : Files.readAllBytes(Path.of(file));
            return new String(bytes, StandardCharsets.UTF_8).strip();
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "the key cannot be read from " + file + ": " + e, e);
        }
    }

    private void print(JsonNode json) {
        printFields(json, "outcome", "wait_cause");
        printLine("refusal", json.path("refusal"), "%s (%s): %s", "kind", "status", "cause");
        printFields(json, "table", "route", "workspace", "rank", "service");
        printLine(
                "rollout",
                json.path("rollout"),
                "%s %s at %s per mille",
                "target",
                "status",
                "share_per_mille");
        printLine(
                "server",
                json.path("server"),
                "%s zone %s address %s version %s",
                "id",
                "zone",
                "address",
                "version");
        printFields(json, "reason", "random", "candidates");
        if (json.path("servers").size() > 0) {
            out().println();
            printServers(json.path("servers"));
        }
    }

    /** Prints the servers of the service; costs only if they were compared. */
    private void printServers(JsonNode servers) {
        List<String> columns = new ArrayList<>(SERVER_COLUMNS);
        if (servers.findValue(COST_COLUMNS.get(0)) != null) {
            columns.addAll(COST_COLUMNS);
        }
        columns.add("excluded");
        Table.of(columns.toArray(new String[0])).addRows(servers).print(out());
    }

    private void printLine(String label, JsonNode object, String format, String... names) {
        if (object.isObject()) {
            Object[] values = Stream.of(names).map(each -> object.path(each).asText()).toArray();
            out().println(label + ": " + String.format(format, values));
        }
    }

    private void printFields(JsonNode json, String... names) {
        for (String name : names) {
            if (json.has(name)) {
                out().println(name + ": " + json.path(name).asText());
            }
        }
    }
}
