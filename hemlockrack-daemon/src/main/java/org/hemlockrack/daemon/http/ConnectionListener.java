package org.hemlockrack.daemon.http;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/** A session listener that ignores all events except connect and disconnect. */
abstract class ConnectionListener implements IOSessionListener {
    @Override
    public final void startTls(IOSession session) {}

    @Override
    public final void inputReady(IOSession session) {}

    @Override
    public final void outputReady(IOSession session) {}

    @Override
    public final void timeout(IOSession session) {}

    @Override
    public final void exception(IOSession session, Exception cause) {}
}
