package org.hemlockrack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** Checks a whole configuration document without an instance. */
public final class ConfigCheckCommand extends Command {
    private String mFile = "";

    /**
     * Sets the document.
     *
     * @param file a TOML file
     * @return this command
     */
    public ConfigCheckCommand setFile(String file) {
        mFile = file;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("check a whole configuration document");
        parser.addArgument("-f", "--file").required(true).help("TOML document");
    }

    @Override
    void take(Namespace options) {
        mFile = options.getString("file");
    }

    @Override
    public int call() {
        try {
            Configuration.parseToml(Files.readString(Path.of(mFile)));
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mFile + " cannot be read: " + e, e);
        }
        out().println(json() ? "{\"valid\":true}" : "the configuration is valid");
        return EXIT_DONE;
    }
}
