package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.StorageReport;
import org.hemlockrack.errors.HemlockrackException;

/** Prints what the data folder of a stopped replica holds and what is damaged in it. */
public final class StorageCheckCommand extends Command {
    private String mFolder = "";

    /**
     * Sets the folder.
     *
     * @param folder the data folder
     * @return this command
     */
    public StorageCheckCommand setFolder(String folder) {
        mFolder = folder;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("check the data folder of a stopped replica; exits with 1 if it is damaged");
        parser.addArgument("folder").metavar("FOLDER").help("data folder of the replicated log");
    }

    @Override
    void readOptions(Namespace options) {
        mFolder = options.getString("folder");
    }

    @Override
    public int call() {
        StorageReport report;
        try {
            report = StorageReport.of(Path.of(mFolder));
        } catch (HemlockrackException e) {
            // A folder that cannot be checked is not a damaged one.
            printError(e);
            return Main.EXIT_USAGE;
        }
        ObjectNode json = toJson(report);
        if (isJson()) {
            out().println(json);
        } else {
            print(json);
        }
        return report.faults().isEmpty() ? EXIT_SUCCESS : EXIT_FAILED;
    }

    private ObjectNode toJson(StorageReport report) {
        ObjectNode json = emptyJson();
        json.put("folder", mFolder);
        json.put("form_version", report.formVersion());
        HardState hardState = report.hardState();
        if (hardState != null) {
            json.put("replica", Long.toHexString(hardState.replicaId()));
            json.put("term", hardState.term());
            json.put("vote", Long.toHexString(hardState.vote()));
        }
        SnapshotMeta snapshot = report.snapshot();
        if (snapshot != null) {
            ObjectNode node = json.putObject("snapshot");
            node.put("index", snapshot.index());
            node.put("term", snapshot.term());
            node.put("size_bytes", snapshot.sizeBytes());
        }
        addSegments(json, report.segments());
        addTexts(json.putArray("leftovers"), report.leftovers());
        addTexts(json.putArray("faults"), report.faults());
        return json;
    }

    private static void addSegments(ObjectNode json, List<StorageReport.Segment> segments) {
        if (!segments.isEmpty()) {
            json.put("first_index", segments.get(0).firstIndex());
            json.put("last_index", segments.get(segments.size() - 1).lastIndex());
            json.put("synced_bytes", segments.get(segments.size() - 1).syncedBytes());
        }
        ArrayNode list = json.putArray("segments");
        for (StorageReport.Segment segment : segments) {
            ObjectNode node = list.addObject();
            node.put("file", segment.name());
            node.put("first_index", segment.firstIndex());
            node.put("last_index", segment.lastIndex());
            node.put("size_bytes", segment.sizeBytes());
            node.put("synced_bytes", segment.syncedBytes());
        }
    }

    private static void addTexts(ArrayNode list, List<String> texts) {
        texts.forEach(list::add);
    }

    private void print(ObjectNode json) {
        json.fields()
                .forEachRemaining(
                        field -> {
                            if (field.getValue().isValueNode()) {
                                printLine(field.getKey(), field.getValue().asText());
                            }
                        });
        JsonNode snapshot = json.path("snapshot");
        if (snapshot.isObject()) {
            printLine(
                    "snapshot",
                    String.format(
                            "index %d term %d, %d bytes",
                            snapshot.path("index").asLong(),
                            snapshot.path("term").asLong(),
                            snapshot.path("size_bytes").asLong()));
        }
        Table.of("file", "first_index", "last_index", "size_bytes", "synced_bytes")
                .addRows(json.path("segments"))
                .print(out());
        json.path("leftovers").forEach(text -> printLine("leftover", text.asText()));
        json.path("faults").forEach(text -> printLine("fault", text.asText()));
    }

    private void printLine(String key, String value) {
        out().println(key + ": " + value);
    }
}
