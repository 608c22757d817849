package org.hemlockrack.daemon.controller;

/** The clocks of the machine. */
interface DutyClock {
    /** The clocks of this process. */
    DutyClock SYSTEM =
            new DutyClock() {
                @Override
                public long nanos() {
                    return System.nanoTime();
                }

                @Override
                public long wallMillis() {
                    return System.currentTimeMillis();
                }
            };

    /** Returns monotonic time. */
    long nanos();

    /** Returns the time of day. */
    long wallMillis();
}
