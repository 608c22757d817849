package org.hemlockrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Prints the error budget burn of all workspaces. */
public final class ReportBurnCommand extends Command {
    private @Nullable String mHtmlFile;

    /**
     * Sets a file to which the report is written as an HTML page instead of printing it.
     *
     * @param file the file
     * @return this command
     */
    public ReportBurnCommand setHtmlFile(String file) {
        mHtmlFile = file;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("print the error budget burn of all workspaces");
        parser.addArgument("--html").metavar("FILE").help("write an HTML page instead");
    }

    @Override
    void readOptions(Namespace options) {
        mHtmlFile = options.getString("html");
    }

    @Override
    public int call() {
        String format = isJson() ? "json" : mHtmlFile == null ? "table" : "html";
        OperatorClient.Response response = send("GET", "/operator/v1/burn?format=" + format);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (mHtmlFile == null || isJson()) {
            out().print(response.body());
            return EXIT_SUCCESS;
        }
        try {
            Files.writeString(Path.of(mHtmlFile), response.body());
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mHtmlFile + " cannot be written: " + e, e);
        }
        out().println("wrote " + mHtmlFile);
        return EXIT_SUCCESS;
    }
}
