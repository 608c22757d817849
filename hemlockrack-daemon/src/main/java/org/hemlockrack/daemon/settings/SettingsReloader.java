package org.hemlockrack.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.HemlockrackException;
import sun.misc.Signal;

/** Reloads the settings file on SIGHUP and when its content changed. Confined to the loop. */
public final class SettingsReloader {
    /** Polling interval of the file; without a signal, a change takes effect after at most this. */
    private static final long POLL_INTERVAL_MILLIS = 1_000;

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
     * Starts to poll the file and to handle SIGHUP.
     *
     * @param loop loop that runs the checks and the listener
     * @param file the settings file
     * @param listener called with changed settings that are valid, and with those of the first
     *     check
     * @param log log for reloads and rejected files
     */
    public static void start(
            EventLoop loop, Path file, Consumer<Settings> listener, DecisionLog log) {
        SettingsReloader reloader = new SettingsReloader(file, "", listener, log);
        loop.scheduleWithFixedDelay(POLL_INTERVAL_MILLIS, reloader::reloadIfChanged);
        Signal.handle(new Signal("HUP"), signal -> loop.execute(reloader::reloadIfChanged));
    }

    private void reloadIfChanged() {
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
