package org.hemlockrack.daemon.http;

/** Answers requests of one port. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Handles a request. Called on an I/O thread; must not block.
     *
     * @param call the request
     * @param responder takes the answer, at once or later, from any thread
     */
    void handle(HttpCall call, Responder responder);
}
