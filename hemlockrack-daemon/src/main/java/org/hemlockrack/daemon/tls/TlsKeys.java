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
 * The keys in force. Changed files are read again within seconds; open connections keep the keys
 * they started with. Safe for use from any thread.
 */
public final class TlsKeys implements AutoCloseable {
    private static final long CHECK_MILLIS = 2_000;

    private final PemFiles mFiles;
    private final EventLog mLog;
    private final ScheduledExecutorService mTimer;

    private volatile SSLContext mContext;
    private List<FileTime> mTimes;

    private TlsKeys(PemFiles files, EventLog log, SSLContext context, List<FileTime> times) {
        mFiles = files;
        mLog = log;
        mContext = context;
        mTimes = times;
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "tls-keys");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Reads the keys and watches their files.
     *
     * @param files the files
     * @param log told about changed keys
     * @return the keys
     * @throws HemlockrackException with {@link ErrorKind#SETTINGS_INVALID} if a file is not usable
     */
    public static TlsKeys open(PemFiles files, EventLog log) {
        try {
            List<FileTime> times = times(files);
            TlsKeys keys = new TlsKeys(files, log, files.read(), times);
            keys.mTimer.scheduleWithFixedDelay(
                    keys::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
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

    private static List<FileTime> times(PemFiles files) throws IOException {
        List<FileTime> times = new ArrayList<>();
        for (Path file : files.all()) {
            times.add(Files.getLastModifiedTime(file));
        }
        return times;
    }

    private void check() {
        reload(this::logFailure);
    }

    /** Reads the files again if one has changed; faulty files leave the keys in force. */
    synchronized void reload(Consumer<Exception> onFailure) {
        try {
            List<FileTime> times = times(mFiles);
            if (times.equals(mTimes)) {
                return;
            }
            mTimes = times;
            mContext = mFiles.read();
            mLog.log(LogEvent.TLS_KEYS_RELOADED, "%s", mFiles.certificate());
        } catch (IOException | GeneralSecurityException | RuntimeException e) {
            onFailure.accept(e);
        }
    }

    private void logFailure(Exception cause) {
        mLog.log(LogEvent.TLS_KEYS_REFUSED, "the old keys stay in force: %s", cause);
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
