package org.hemlockrack.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.HemlockrackException;
import sun.misc.Signal;

/** Reads the settings file again on SIGHUP and when it changed. Confined to the loop. */
public final class SettingsReloader {
    /** How often the file is looked at; a change without a signal takes effect this late. */
    private static final long PERIOD_MILLIS = 1_000;

    private final Path mFile;
    private final Consumer<Settings> mListener;
    private final DecisionLog mLog;
    private String mText;

    private SettingsReloader(Path file, String text, Consumer<Settings> listener, DecisionLog log) {
        mFile = file;
        mText = text;
        mListener = listener;
        mLog = log;
    }

    /**
     * Starts watching.
     *
     * @param loop runs the checks and the listener
     * @param file the settings file
     * @param listener takes changed settings that are valid
     * @param log where reloads are noted
     */
    public static void start(
            EventLoop loop, Path file, Consumer<Settings> listener, DecisionLog log) {
        SettingsReloader reloader = new SettingsReloader(file, "", listener, log);
        loop.scheduleWithFixedDelay(PERIOD_MILLIS, reloader::check);
        Signal.handle(new Signal("HUP"), signal -> loop.execute(reloader::check));
    }

    private void check() {
        String text;
        try {
            text = Files.readString(mFile);
        } catch (IOException e) {
            mLog.instanceEvent("settings_unreadable").put("cause", e.toString()).write();
            return;
        }
        if (text.equals(mText)) {
            return;
        }
        mText = text;
        try {
            mListener.accept(Settings.parse(mFile.toString(), text));
            mLog.instanceEvent("settings_loaded").write();
        } catch (HemlockrackException e) {
            mLog.instanceEvent("settings_refused").put("cause", e.getMessage()).write();
        }
    }
}
