package org.hemlockrack.burn;

/** Why a request missed its latency objective. */
public enum BurnCause {
    QUEUE("queue"),
    COLD_START("cold start"),
    ZONE("zone"),
    VERSION("version"),
    BACKEND("backend server"),
    REFUSED("refused"),
    OTHER("other");

    private final String mLabel;

    BurnCause(String label) {
        mLabel = label;
    }

    /** Returns the name shown in reports. */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the cause of a miss. A single event (a refusal, an unavailable zone, a cold start, a
     * version being rolled out) takes precedence over the time in the queue, because such an event
     * also lengthens queues.
     *
     * @param context what is known about the request
     * @return the cause
     */
    public static BurnCause of(MissContext context) {
        if (context.refused()) {
            return REFUSED;
        }
        if (context.zoneUnavailable()) {
            return ZONE;
        }
        if (context.coldStart()) {
            return COLD_START;
        }
        if (context.rolloutVersion()) {
            return VERSION;
        }
        if (context.queueNanos() * 2 >= context.totalNanos() && context.queueNanos() > 0) {
            return QUEUE;
        }
        return context.reachedBackend() ? BACKEND : OTHER;
    }
}
