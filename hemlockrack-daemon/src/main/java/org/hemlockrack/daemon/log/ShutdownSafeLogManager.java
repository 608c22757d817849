package org.hemlockrack.daemon.log;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process ends. The manager of the JDK removes them in a shutdown hook
 * that runs beside the graceful stop, so the lines of the stop would be lost. It is chosen by the
 * system property {@code java.util.logging.manager}, which must be set before this class or its
 * superclass is initialised.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Does nothing, see the class. */
    @Override
    public void reset() {}
}
