package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * Prints the timeline of one request from log files: its own log entries, and the entries around
 * that time about the servers that it used and from the instances that handled it.
 */
public final class ExplainCommand extends Command {
    /** Events up to this long before and after a request are printed, as they may explain it. */
    private static final long CONTEXT_MILLIS = 5_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private String mRequestId = "";
    private List<String> mFiles = List.of();

    /**
     * Sets the request.
     *
     * @param id id of the caller's attempt
     * @return this command
     */
    public ExplainCommand setRequest(String id) {
        mRequestId = id;
        return this;
    }

    /**
     * Sets the log files.
     *
     * @param files files with the standard output of the instances
     * @return this command
     */
    public ExplainCommand setFiles(List<String> files) {
        mFiles = List.copyOf(files);
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("print the timeline of one request from log files");
        parser.addArgument("request").help("id of the caller's attempt");
        parser.addArgument("files").nargs("+").help("log files of the instances");
    }

    @Override
    void readOptions(Namespace options) {
        mRequestId = options.getString("request");
        mFiles = List.copyOf(options.getList("files"));
    }

    @Override
    public int call() {
        List<JsonNode> lines = readAllFiles();
        List<JsonNode> timeline = new ArrayList<>();
        for (JsonNode line : lines) {
            if (line.path("request").asText().equals(mRequestId)) {
                timeline.add(line);
            }
        }
        if (timeline.isEmpty()) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "no line of these files names the request " + mRequestId);
        }
        addRelatedEvents(lines, timeline);
        timeline.sort(Comparator.comparingLong(line -> line.path("time_ms").asLong()));
        if (isJson()) {
            out().println(MAPPER.createArrayNode().addAll(timeline));
        } else {
            timeline.forEach(line -> out().println(format(line)));
        }
        return EXIT_SUCCESS;
    }

    /** Adds log entries near the request about its servers, or without a server, its instances. */
    private void addRelatedEvents(List<JsonNode> lines, List<JsonNode> timeline) {
        Set<String> servers = new HashSet<>();
        Set<String> instances = new HashSet<>();
        long firstMillis = Long.MAX_VALUE;
        long lastMillis = 0;
        for (JsonNode line : timeline) {
            servers.add(line.path("server").asText());
            instances.add(line.path("instance").asText());
            long atMillis = line.path("time_ms").asLong();
            firstMillis = Math.min(firstMillis, atMillis - line.path("elapsed_ms").asLong());
            lastMillis = Math.max(lastMillis, atMillis);
        }
        servers.remove("");
        for (JsonNode line : lines) {
            long atMillis = line.path("time_ms").asLong();
            boolean isNear =
                    atMillis >= firstMillis - CONTEXT_MILLIS
                            && atMillis <= lastMillis + CONTEXT_MILLIS;
            boolean isRelated =
                    line.has("server")
                            ? servers.contains(line.path("server").asText())
                            : instances.contains(line.path("instance").asText());
            if (isNear && isRelated && !line.has("request")) {
                timeline.add(line);
            }
        }
    }

    private List<JsonNode> readAllFiles() {
        List<JsonNode> lines = new ArrayList<>();
        for (String file : mFiles) {
            for (String text : readLines(file)) {
                JsonNode line = parseLine(text);
                if (line != null) {
                    lines.add(line);
                }
            }
        }
        return lines;
    }

    private static List<String> readLines(String file) {
        try {
            return Files.readAllLines(Path.of(file), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + file + " cannot be read: " + e, e);
        }
    }

    /**
     * Parses a log entry. Other programs may write to the same file, and a log collector may put a
     * prefix before each line.
     *
     * @return the entry, or null if the line holds none
     */
    private static @Nullable JsonNode parseLine(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return null;
        }
        try {
            JsonNode line = MAPPER.readTree(text.substring(start));
            return line != null && line.has("event") ? line : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static String format(JsonNode line) {
        ObjectNode rest = line.deepCopy();
        rest.remove(List.of("time_ms", "instance", "event", "request"));
        StringBuilder text = new StringBuilder();
        text.append(line.path("time_ms").asLong()).append(' ');
        text.append(line.path("instance").asText()).append(' ');
        text.append(line.path("event").asText());
        for (Map.Entry<String, JsonNode> field : rest.properties()) {
            text.append(' ').append(field.getKey()).append('=').append(field.getValue());
        }
        return text.toString();
    }
}
