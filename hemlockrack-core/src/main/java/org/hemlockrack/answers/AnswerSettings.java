package org.hemlockrack.answers;

/**
 * Bounds of an {@link AnswerTracker}.
 *
 * @param maxEventBytes maximum size of a stream event
 * @param maxBufferedBytes maximum size of a non-streaming answer that is buffered until it is
 *     complete; a larger one is forwarded as it arrives, and aborted if it is truncated
 * @param maxAttempts maximum number of attempts per request, including the first and resumptions
 */
public record AnswerSettings(int maxEventBytes, int maxBufferedBytes, int maxAttempts) {
    private static final int DEFAULT_EVENT_BYTES = 256 * 1024;
    private static final int DEFAULT_HELD_BYTES = 64 * 1024;
    private static final int DEFAULT_ATTEMPTS = 4;

    /**
     * Returns the default settings.
     *
     * @return settings with events of 256 KiB, buffered answers of 64 KiB and 4 attempts
     */
    public static AnswerSettings defaults() {
        return new AnswerSettings(DEFAULT_EVENT_BYTES, DEFAULT_HELD_BYTES, DEFAULT_ATTEMPTS);
    }
}
