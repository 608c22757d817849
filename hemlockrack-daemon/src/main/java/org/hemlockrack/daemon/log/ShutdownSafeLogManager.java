package org.hemlockrack.daemon.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the process ends. The JDK's log manager removes them
 * in a shutdown hook that runs concurrently with the graceful shutdown, whose log lines would be
 * lost. It is selected by the system property {@code java.util.logging.manager}, which must be set
 * before this class or its superclass is initialised.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Does nothing, so that the handlers are kept. */
    @Override
    public void reset() {}
}
