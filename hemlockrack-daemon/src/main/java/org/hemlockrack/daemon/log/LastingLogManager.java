package org.hemlockrack.daemon.log;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process ends. The manager of the JDK removes them in a shutdown hook
 * that runs beside the graceful stop, so the lines of the stop would be lost.
 */
public final class LastingLogManager extends LogManager {
    /** Makes this the manager of the process; must run before anything logs. */
    public static void use() {
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
    }

    /** Does nothing, see the class. */
    @Override
    public void reset() {}
}
