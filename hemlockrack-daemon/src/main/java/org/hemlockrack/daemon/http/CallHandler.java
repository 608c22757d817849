package org.hemlockrack.daemon.http;

/** Handles the requests of one port. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Handles a request. Called on an I/O thread; must not block.
     *
     * @param call the request
     * @param responder sends the response; may be used after this method has returned and from any
     *     thread
     */
    void handle(HttpCall call, Responder responder);
}
