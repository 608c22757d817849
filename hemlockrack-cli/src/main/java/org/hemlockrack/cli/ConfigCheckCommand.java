package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.ValidationError;
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
        List<ValidationError> faults = Configuration.checkToml(read()).errors();
        if (json()) {
            printJson(faults);
        } else if (faults.isEmpty()) {
            out().println("the configuration is valid");
        } else {
            err().println("hemlockrack: CONFIG_INVALID: " + faults.size() + " faults");
            faults.forEach(fault -> err().println("  " + fault));
        }
        return faults.isEmpty() ? EXIT_DONE : EXIT_FAILED;
    }

    private String read() {
        try {
            return Files.readString(Path.of(mFile));
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mFile + " cannot be read: " + e, e);
        }
    }

    private void printJson(List<ValidationError> faults) {
        ObjectNode json = emptyJson();
        json.put("valid", faults.isEmpty());
        ArrayNode list = json.putArray("faults");
        faults.forEach(fault -> list.add(fault.toString()));
        out().println(json);
    }
}
