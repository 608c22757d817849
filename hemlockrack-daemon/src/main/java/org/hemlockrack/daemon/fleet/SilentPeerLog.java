package org.hemlockrack.daemon.fleet;

import java.util.function.BiConsumer;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.events.LogEvent;

/** Logs instances that fall silent and answer again. */
public final class SilentPeerLog implements PeerNetwork.Listener {
    private final EventLog mLog;
    private final BiConsumer<String, Exception> mOnUnreachable;

    private SilentPeerLog(EventLog log, BiConsumer<String, Exception> onUnreachable) {
        mLog = log;
        mOnUnreachable = onUnreachable;
    }

    /**
     * Creates a listener.
     *
     * @param log the event log
     * @param onUnreachable called with the address and the cause when messages cannot be delivered
     * @return the listener
     */
    public static SilentPeerLog create(EventLog log, BiConsumer<String, Exception> onUnreachable) {
        return new SilentPeerLog(log, onUnreachable);
    }

    @Override
    public void onUnreachable(String address, Exception cause) {
        mOnUnreachable.accept(address, cause);
    }

    @Override
    public void onSilent(String address, long limitMillis) {
        mLog.log(LogEvent.PEER_SILENT, "%s: no answer for %d ms", address, limitMillis);
    }

    @Override
    public void onAnswering(String address) {
        mLog.log(LogEvent.PEER_ANSWERING, "%s", address);
    }
}
