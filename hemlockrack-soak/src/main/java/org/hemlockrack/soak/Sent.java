package org.hemlockrack.soak;

import org.hemlockrack.platform.TestFleet.Answer;

/**
 * A request and its answer.
 *
 * @param id id of the attempt
 * @param kind what was asked for
 * @param gateway number of the gateway, from 1
 * @param body what was sent
 * @param startNanos when it was sent
 * @param endNanos when the answer had come
 * @param answer the answer
 */
record Sent(
        String id,
        Kind kind,
        int gateway,
        String body,
        long startNanos,
        long endNanos,
        Answer answer) {

    /** Kinds of requests and what may happen to them. */
    enum Kind {
        /** May run again; the answer repeats the request's body. */
        PLAIN("/plain/x", 2),
        /** Runs once at most. */
        COMMAND("/command/x", 1),
        /** May go on at another server from the last whole event. */
        STREAM("/stream/x", 3);

        private static final String WHOLE_STREAM =
                "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
                        + "id: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n";

        private final String mPath;
        private final int mMostRuns;

        Kind(String path, int mostRuns) {
            mPath = path;
            mMostRuns = mostRuns;
        }

        String path() {
            return mPath;
        }

        int mostRuns() {
            return mMostRuns;
        }

        String expected(String body) {
            return this == STREAM ? WHOLE_STREAM : body;
        }
    }
}
