package org.hemlockrack.soak;

import org.hemlockrack.platform.TestFleet.Answer;

/**
 * A request that a caller sent, and its answer.
 *
 * @param id request id
 * @param kind kind of the request
 * @param gateway number of the gateway, from 1
 * @param body request body
 * @param startNanos time when it was sent
 * @param endNanos time when the answer was complete
 * @param answer the answer; status 0 if there was none
 */
record SentRequest(
        String id,
        Kind kind,
        int gateway,
        String body,
        long startNanos,
        long endNanos,
        Answer answer) {

    /** Kinds of requests, with their route and how often each may be executed. */
    enum Kind {
        /** Idempotent; may be executed again. The answer repeats the request body. */
        PLAIN("plain", 2),
        /** Not idempotent; executed at most once. The answer repeats the request body. */
        COMMAND("command", 1),
        /** An event stream, which another server may resume after the last complete event. */
        STREAM("stream", 3);

        private static final String COMPLETE_STREAM =
                "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"
                        + "id: 4\ndata: 4\n\nid: 5\ndata: 5\n\nid: 6\ndata: 6\n\n";

        private final String mRoute;
        private final int mMaxExecutions;

        Kind(String route, int maxExecutions) {
            mRoute = route;
            mMaxExecutions = maxExecutions;
        }

        /** Returns the first segment of the path. */
        String route() {
            return mRoute;
        }

        String path() {
            return "/" + mRoute + "/x";
        }

        int maxExecutions() {
            return mMaxExecutions;
        }

        String expectedBody(String body) {
            return this == STREAM ? COMPLETE_STREAM : body;
        }
    }
}
