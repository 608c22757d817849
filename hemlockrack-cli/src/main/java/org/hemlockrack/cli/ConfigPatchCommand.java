package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Changes the configuration by a TOML patch or a rollback to an earlier version. */
public final class ConfigPatchCommand extends Command {
    private @Nullable String mFile;
    private @Nullable Long mRollbackVersion;
    private long mBaseVersion;
    private boolean mDryRun;
    private String mRequestId = UUID.randomUUID().toString();
    private String mAuthor = "operator";

    /**
     * Sets the patch.
     *
     * @param file a TOML file
     * @return this command
     */
    public ConfigPatchCommand setFile(String file) {
        mFile = file;
        return this;
    }

    /**
     * Sets the version to change. The change is rejected if another version is in force.
     *
     * @param base the version
     * @return this command
     */
    public ConfigPatchCommand setBase(long base) {
        mBaseVersion = base;
        return this;
    }

    /**
     * Sets whether the change is only printed and not made.
     *
     * @param dryRun true to change nothing
     * @return this command
     */
    public ConfigPatchCommand setDryRun(boolean dryRun) {
        mDryRun = dryRun;
        return this;
    }

    /**
     * Sets the idempotency key: a change that is sent again with the same id is made only once.
     *
     * @param requestId the id; random by default
     * @return this command
     */
    public ConfigPatchCommand setRequestId(String requestId) {
        mRequestId = requestId;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("change the configuration");
        MutuallyExclusiveGroup change = parser.addMutuallyExclusiveGroup().required(true);
        change.addArgument("-f", "--file").help("TOML patch");
        change.addArgument("--rollback").type(Long.class).help("roll back to this version");
        parser.addArgument("--base").type(Long.class).required(true).help("version to change");
        parser.addArgument("--dry-run").action(Arguments.storeTrue()).help("only print the change");
        parser.addArgument("--request-id").help("idempotency key of the change; random by default");
        parser.addArgument("--author").setDefault(mAuthor).help("author name for the history");
    }

    @Override
    void readOptions(Namespace options) {
        mFile = options.getString("file");
        mRollbackVersion = options.getLong("rollback");
        mBaseVersion = options.getLong("base");
        mDryRun = options.getBoolean("dry_run");
        mAuthor = options.getString("author");
        if (options.getString("request_id") != null) {
            mRequestId = options.getString("request_id");
        }
    }

    @Override
    public int call() {
        List<OperatorClient.HeaderField> headers = new ArrayList<>();
        headers.add(new OperatorClient.HeaderField("If-Match", "\"" + mBaseVersion + "\""));
        headers.add(new OperatorClient.HeaderField("X-Request-Id", mRequestId));
        headers.add(new OperatorClient.HeaderField("X-Author", mAuthor));
        OperatorClient.Response response = sendPatch(headers);
        if (response.isError()) {
            return printErrorResponse(response, resendHint());
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        JsonNode result = parse(response.body());
        for (JsonNode row : result.path("differences")) {
            out().printf(
                            "%s: %s -> %s%n",
                            row.path("key").asText(),
                            row.path("before").asText("(absent)"),
                            row.path("after").asText("(absent)"));
        }
        String verb = mDryRun ? "would become" : "accepted as";
        out().println(verb + " version " + result.path("version").asLong());
        return EXIT_SUCCESS;
    }

    private OperatorClient.Response sendPatch(List<OperatorClient.HeaderField> headers) {
        try {
            return send("PATCH", path(), headers, body());
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.OUTCOME_UNKNOWN) {
                throw e;
            }
            throw HemlockrackException.of(e.kind(), e.getMessage() + "; " + resendHint(), e);
        }
    }

    /** A generated id is not known to the operator, who needs it to resend the change safely. */
    private String resendHint() {
        return "resend with --request-id " + mRequestId;
    }

    private String path() {
        String path = "/operator/v1/config?dry_run=" + mDryRun;
        return mRollbackVersion == null ? path : path + "&rollback=" + mRollbackVersion;
    }

    private String body() {
        if (mFile == null) {
            return "";
        }
        try {
            return Files.readString(Path.of(mFile));
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mFile + " cannot be read: " + e, e);
        }
    }
}
