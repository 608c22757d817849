package org.hemlockrack.capacity;

import java.util.Locale;

/** For which services a gateway queues requests and learns the capacity of the servers. */
public enum SchedulingMode {
    /** For no service. */
    OFF {
        @Override
        public boolean manages(boolean speedReported) {
            return false;
        }
    },
    /** For services of which a server has reported how fast its machine is at the moment. */
    REPORTED {
        @Override
        public boolean manages(boolean speedReported) {
            return speedReported;
        }
    },
    /** For all services. */
    ON {
        @Override
        public boolean manages(boolean speedReported) {
            return true;
        }
    };

    /**
     * Returns whether a service is managed.
     *
     * @param speedReported whether a server of the service has reported its speed since the start
     *     of this process
     */
    public abstract boolean manages(boolean speedReported);

    /**
     * Returns the mode of a checked setting.
     *
     * @param text the mode's name in lower case
     */
    public static SchedulingMode of(String text) {
        return valueOf(text.toUpperCase(Locale.ROOT));
    }
}
