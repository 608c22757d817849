package org.hemlockrack.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;

/**
 * The current TLS keys of the process. Files that have changed are reloaded within seconds; open
 * connections keep the keys with which they were started. Safe for use from any thread.
 */
public final class TlsKeys implements AutoCloseable {
    private static final long CHECK_PERIOD_MILLIS = 2_000;

    private final PemFiles mFiles;
    private final EventLog mLog;
    private final ScheduledExecutorService mTimer;

    private volatile SSLContext mContext;
    private List<FileTime> mModificationTimes;

    private TlsKeys(PemFiles files, EventLog log, SSLContext context, List<FileTime> times) {
        mFiles = files;
        mLog = log;
        mContext = context;
        mModificationTimes = times;
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "tls-keys");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Reads the keys and starts to check their files for changes.
     *
     * @param files the files
     * @param log logs reloads and their failures
     * @return the keys
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if a file cannot be read
     *     or holds no usable key or certificate
     */
    public static TlsKeys open(PemFiles files, EventLog log) {
        try {
            List<FileTime> times = modificationTimes(files);
            TlsKeys keys = new TlsKeys(files, log, files.loadContext(), times);
            keys.mTimer.scheduleWithFixedDelay(
                    keys::reloadOrLog,
                    CHECK_PERIOD_MILLIS,
                    CHECK_PERIOD_MILLIS,
                    TimeUnit.MILLISECONDS);
            return keys;
        } catch (IOException | GeneralSecurityException e) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, "TLS files are not usable: " + e.getMessage(), e);
        }
    }

    /** Returns the context for new connections. */
    public SSLContext currentContext() {
        return mContext;
    }

    private static List<FileTime> modificationTimes(PemFiles files) throws IOException {
        List<FileTime> times = new ArrayList<>();
        for (Path file : files.paths()) {
            times.add(Files.getLastModifiedTime(file));
        }
        return times;
    }

    private void reloadOrLog() {
        reloadIfChanged(this::logFailure);
    }

    /**
     * Reads the files again if the modification time of one has changed. If that fails, the current
     * keys are kept until a file changes again.
     *
     * @param onFailure receives the exception if the files cannot be read or are not usable
     */
    synchronized void reloadIfChanged(Consumer<Exception> onFailure) {
        try {
            List<FileTime> times = modificationTimes(mFiles);
            if (times.equals(mModificationTimes)) {
                return;
            }
            mModificationTimes = times;
            mContext = mFiles.loadContext();
            mLog.log(LogEvent.TLS_KEYS_RELOADED, "%s", mFiles.certificate());
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            onFailure.accept(e);
        }
    }

    private void logFailure(Exception cause) {
        mLog.log(LogEvent.TLS_KEYS_REFUSED, "keeping the current keys: %s", cause);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
