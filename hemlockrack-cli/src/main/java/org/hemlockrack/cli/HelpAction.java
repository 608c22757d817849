package org.hemlockrack.cli;

import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentAction;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/**
 * A help option that stops parsing without printing, so that {@link Main} can print the help to its
 * own output stream.
 */
final class HelpAction implements ArgumentAction {
    private HelpAction() {}

    /** Adds {@code -h} and {@code --help} to a parser that was created without a help option. */
    static void addTo(ArgumentParser parser) {
        parser.addArgument("-h", "--help").action(new HelpAction()).help("print this help");
    }

    @Override
    public void run(
            ArgumentParser parser,
            Argument argument,
            Map<String, Object> attributes,
            String flag,
            Object value)
            throws ArgumentParserException {
        throw new HelpScreenException(parser);
    }

    @Override
    public void onAttach(Argument argument) {}

    @Override
    public boolean consumeArgument() {
        return false;
    }
}
