package org.hemlockrack.answers;

/**
 * Bounds of an {@link AnswerTracker}.
 *
 * @param maxEventBytes largest stream event
 * @param maxBufferedBytes largest whole answer that is held until it is complete; a longer one is
 *     forwarded as it arrives, and a cut then aborts it
 * @param maxAttempts attempts per request, including the first and resumptions
 */
public record AnswerSettings(int maxEventBytes, int maxBufferedBytes, int maxAttempts) {
    private static final int DEFAULT_EVENT_BYTES = 256 * 1024;
    private static final int DEFAULT_HELD_BYTES = 64 * 1024;
    private static final int DEFAULT_ATTEMPTS = 4;

    /**
     * Returns the default settings.
     *
     * @return settings with events of 256 KiB, held answers of 64 KiB and 4 attempts
     */
    public static AnswerSettings defaults() {
        return new AnswerSettings(DEFAULT_EVENT_BYTES, DEFAULT_HELD_BYTES, DEFAULT_ATTEMPTS);
    }
}
