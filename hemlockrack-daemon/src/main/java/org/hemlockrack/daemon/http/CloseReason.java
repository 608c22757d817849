package org.hemlockrack.daemon.http;

/** Why a connection ended before a response was complete. */
enum CloseReason {
    CLIENT("the caller closed the connection"),
    WRITE_TIMEOUT("the caller has stopped reading"),
    INTERNAL_ERROR("internal error in the connection"),
    EVICTED("the instance is short of memory"),
    PORT_CLOSED("the port was closed");

    private final String mText;

    CloseReason(String text) {
        mText = text;
    }

    String text() {
        return mText;
    }
}
