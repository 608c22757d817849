package org.hemlockrack.burn;

/** What made a request miss its promise. */
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

    /** Returns the name in reports. */
    public String label() {
        return mLabel;
    }

    /**
     * Returns the cause that explains a miss. A cause that lies in one event (a refusal, a zone out
     * of service, a cold start, a new version) comes before the time in the queue, since it also
     * lengthens queues.
     *
     * @param facts what is known about the request
     * @return the cause
     */
    public static BurnCause of(MissContext facts) {
        if (facts.refused()) {
            return REFUSED;
        }
        if (facts.zoneOut()) {
            return ZONE;
        }
        if (facts.coldStart()) {
            return COLD_START;
        }
        if (facts.newVersion()) {
            return VERSION;
        }
        if (facts.queueNanos() * 2 >= facts.totalNanos() && facts.queueNanos() > 0) {
            return QUEUE;
        }
        return facts.atBackend() ? BACKEND : OTHER;
    }
}
