package org.hemlockrack.soak;

import java.util.random.RandomGenerator;
import org.hemlockrack.platform.TestFleet;
import org.hemlockrack.platform.TimedAnswer;
import org.jspecify.annotations.Nullable;

/**
 * A request that a caller sent in a run with planned stops, and how it ended.
 *
 * @param id request id
 * @param plan what was sent
 * @param gateway number of the gateway, from 1
 * @param lastChunkNanos time when the last chunk that was begun began; the gateway's time limit
 *     counts from its arrival
 * @param sentNanos time when the last byte was sent, {@link #NOT_SENT} if it was not
 * @param endNanos time when the answer was complete or the connection ended
 * @param status status of the answer, 0 if there was none
 * @param body what came of the body of the answer
 * @param failure why the answer is not complete, null if it is
 */
record StopRequest(
        String id,
        Plan plan,
        int gateway,
        long lastChunkNanos,
        long sentNanos,
        long endNanos,
        int status,
        String body,
        @Nullable String failure) {

    static final long NOT_SENT = Long.MIN_VALUE;

    /** Time limit of all routes and requests. */
    static final long TIME_LIMIT_MILLIS = 5_000;

    boolean isSentWhole() {
        return sentNanos != NOT_SENT;
    }

    boolean isComplete() {
        return failure == null;
    }

    /**
     * Kind, body and answer of a request.
     *
     * @param kind kind of the request
     * @param chunks number of chunks of the body
     * @param chunkPauseMillis time before each chunk
     * @param parts number of parts of the answer
     * @param partMillis time that a server takes for each part
     */
    record Plan(
            SentRequest.Kind kind, int chunks, int chunkPauseMillis, int parts, int partMillis) {
        private static final int MAX_CHUNKS = 8;
        private static final int MAX_SLOW_BODY_MILLIS = 5_000;
        private static final int MAX_PARTS = 10;
        private static final int MIN_ANSWER_MILLIS = 50;
        private static final int MAX_ANSWER_MILLIS = 250;
        private static final int MIN_SLOW_ANSWER_MILLIS = 2_000;
        private static final int MAX_SLOW_ANSWER_MILLIS = 4_800;

        /**
         * Chooses a request.
         *
         * @param random source of the choice
         * @param slowBody whether the body may take some seconds
         * @param slowServer whether half of the answers take some seconds
         */
        static Plan choose(RandomGenerator random, boolean slowBody, boolean slowServer) {
            SentRequest.Kind[] kinds = SentRequest.Kind.values();
            int chunks = 1 + random.nextInt(MAX_CHUNKS);
            int bodyMillis = slowBody ? random.nextInt(MAX_SLOW_BODY_MILLIS) : 0;
            int parts = 1 + random.nextInt(MAX_PARTS);
            int answerMillis =
                    slowServer && random.nextBoolean()
                            ? random.nextInt(MIN_SLOW_ANSWER_MILLIS, MAX_SLOW_ANSWER_MILLIS)
                            : random.nextInt(MIN_ANSWER_MILLIS, MAX_ANSWER_MILLIS);
            return new Plan(
                    kinds[random.nextInt(kinds.length)],
                    chunks,
                    bodyMillis / chunks,
                    parts,
                    answerMillis / parts);
        }

        /** Returns the head of a request. */
        String head(String id) {
            String path = TimedAnswer.path(kind.route(), parts, partMillis);
            return TestFleet.head(path, id, TIME_LIMIT_MILLIS)
                    + "Transfer-Encoding: chunked\r\n\r\n";
        }

        String expectedBody() {
            return TimedAnswer.body(parts);
        }
    }
}
