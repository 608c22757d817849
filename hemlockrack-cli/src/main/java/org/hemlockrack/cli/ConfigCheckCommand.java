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

/** Validates a whole configuration document locally, without contacting an instance. */
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
    void declareOptions(Subparser parser) {
        parser.help("validate a whole configuration document");
        parser.addArgument("-f", "--file").required(true).help("TOML document");
    }

    @Override
    void readOptions(Namespace options) {
        mFile = options.getString("file");
    }

    @Override
    public int call() {
        List<ValidationError> errors = Configuration.checkToml(readFile()).errors();
        if (isJson()) {
            printJson(errors);
        } else if (errors.isEmpty()) {
            out().println("the configuration is valid");
        } else {
            err().println("hemlockrack: CONFIG_INVALID: " + errors.size() + " errors");
            errors.forEach(error -> err().println("  " + error));
        }
        return errors.isEmpty() ? EXIT_SUCCESS : EXIT_FAILED;
    }

    private String readFile() {
        try {
            return Files.readString(Path.of(mFile));
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "file " + mFile + " cannot be read: " + e, e);
        }
    }

    private void printJson(List<ValidationError> errors) {
        ObjectNode json = emptyJson();
        json.put("valid", errors.isEmpty());
        ArrayNode list = json.putArray("faults");
        errors.forEach(fault -> list.add(fault.toString()));
        out().println(json);
    }
}
