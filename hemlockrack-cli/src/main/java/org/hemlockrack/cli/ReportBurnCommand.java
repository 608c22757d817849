package org.hemlockrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Prints the service-level burn of all workspaces. */
public final class ReportBurnCommand extends Command {
    private @Nullable String mHtmlFile;

    /**
     * Sets a file that takes the report as an HTML page.
     *
     * @param file the file
     * @return this command
     */
    public ReportBurnCommand setHtmlFile(String file) {
        mHtmlFile = file;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("print the service-level burn of all workspaces");
        parser.addArgument("--html").metavar("FILE").help("write an HTML page instead");
    }

    @Override
    void take(Namespace options) {
        mHtmlFile = options.getString("html");
    }

    @Override
    public int call() {
        String format = json() ? "json" : mHtmlFile == null ? "table" : "html";
        OperatorClient.Answer answer = send("GET", "/operator/v1/burn?format=" + format);
        if (answer.isError()) {
            return refused(answer);
        }
        if (mHtmlFile == null || json()) {
            out().print(answer.body());
            return EXIT_DONE;
        }
        try {
            Files.writeString(Path.of(mHtmlFile), answer.body());
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mHtmlFile + " cannot be written: " + e, e);
        }
        out().println("wrote " + mHtmlFile);
        return EXIT_DONE;
    }
}
