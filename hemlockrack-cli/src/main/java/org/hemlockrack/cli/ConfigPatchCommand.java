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

/** Changes the configuration by a TOML patch or a return to an earlier version. */
public final class ConfigPatchCommand extends Command {
    private @Nullable String mFile;
    private @Nullable Long mRollback;
    private long mBase;
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
     * Sets the version that the patch is made for.
     *
     * @param base the version
     * @return this command
     */
    public ConfigPatchCommand setBase(long base) {
        mBase = base;
        return this;
    }

    /**
     * Sets whether the change is only shown.
     *
     * @param dryRun true to change nothing
     * @return this command
     */
    public ConfigPatchCommand setDryRun(boolean dryRun) {
        mDryRun = dryRun;
        return this;
    }

    /**
     * Sets the id that marks a resend of the same change.
     *
     * @param requestId the id
     * @return this command
     */
    public ConfigPatchCommand setRequestId(String requestId) {
        mRequestId = requestId;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("change the configuration");
        MutuallyExclusiveGroup change = parser.addMutuallyExclusiveGroup().required(true);
        change.addArgument("-f", "--file").help("TOML patch");
        change.addArgument("--rollback").type(Long.class).help("return to this version");
        parser.addArgument("--base").type(Long.class).required(true).help("version to change");
        parser.addArgument("--dry-run").action(Arguments.storeTrue()).help("only show the change");
        parser.addArgument("--request-id").help("marks a resend of the same change");
        parser.addArgument("--author").setDefault(mAuthor).help("name for the history");
    }

    @Override
    void take(Namespace options) {
        mFile = options.getString("file");
        mRollback = options.getLong("rollback");
        mBase = options.getLong("base");
        mDryRun = options.getBoolean("dry_run");
        mAuthor = options.getString("author");
        if (options.getString("request_id") != null) {
            mRequestId = options.getString("request_id");
        }
    }

    @Override
    public int call() {
        List<OperatorClient.Field> fields = new ArrayList<>();
        fields.add(new OperatorClient.Field("If-Match", "\"" + mBase + "\""));
        fields.add(new OperatorClient.Field("X-Request-Id", mRequestId));
        fields.add(new OperatorClient.Field("X-Author", mAuthor));
        OperatorClient.Answer answer = sendPatch(fields);
        if (answer.isError()) {
            return refused(answer, resendHint());
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        JsonNode result = parse(answer.body());
        for (JsonNode row : result.path("differences")) {
            out().printf(
                            "%s: %s -> %s%n",
                            row.path("key").asText(),
                            row.path("before").asText("(absent)"),
                            row.path("after").asText("(absent)"));
        }
        String verb = mDryRun ? "would become" : "accepted as";
        out().println(verb + " version " + result.path("version").asLong());
        return EXIT_DONE;
    }

    private OperatorClient.Answer sendPatch(List<OperatorClient.Field> fields) {
        try {
            return send("PATCH", path(), fields, body());
        } catch (HemlockrackException e) {
            if (e.kind() != ErrorKind.OUTCOME_UNKNOWN) {
                throw e;
            }
            throw HemlockrackException.of(e.kind(), e.getMessage() + "; " + resendHint(), e);
        }
    }

    /** The id was made here, so the operator can only resend if told about it. */
    private String resendHint() {
        return "resend with --request-id " + mRequestId;
    }

    private String path() {
        String path = "/operator/v1/config?dry_run=" + mDryRun;
        return mRollback == null ? path : path + "&rollback=" + mRollback;
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
