package org.hemlockrack.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of route tables that a controller has sent to gateways and that have not arrived
 * yet. They wait in the queue of the controller's link, and the heartbeats of the log wait behind
 * them: a new table is fetched by all gateways at once, which is seconds of a link of 6 Mbit/s. Not
 * thread-safe.
 */
public final class TableSends {
    /**
     * Most bytes on the way, unless a single reply is longer. At 6 Mbit/s they delay a heartbeat by
     * 175 ms; a leader without answers for 500 ms steps down.
     */
    public static final int MAX_UNCONFIRMED_BYTES = 128 << 10;

    /**
     * Same for a leader, whose link also carries the entries of the log for all members. A caller
     * that reads the configuration after a power loss waits for confirmations of the leader, behind
     * all that.
     */
    public static final int MAX_LEADER_BYTES = MAX_UNCONFIRMED_BYTES / 2;

    /**
     * Time after which a reply no longer counts, for gateways that have gone or do not confirm. At
     * this rate, the replies need 60 percent of a link of 6 Mbit/s.
     */
    private static final long EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Map<String, Send> mSends = new HashMap<>();

    private record Send(long atNanos, long bytes) {}

    private TableSends() {}

    /** Creates an instance without replies on the way. */
    public static TableSends create() {
        return new TableSends();
    }

    /**
     * Records a request, which shows that the receiver has the reply to its last one.
     *
     * @param receiver the sender of the request
     */
    public void confirm(String receiver) {
        mSends.remove(receiver);
    }

    /**
     * Decides whether tables may be sent now, and records them if so.
     *
     * @param nowNanos monotonic time
     * @param receiver who asks for them; its earlier replies are confirmed
     * @param bytes size of the tables
     * @param leads whether this controller leads
     * @return whether they may be sent; otherwise the receiver is to ask another controller
     */
    public boolean tryStart(long nowNanos, String receiver, long bytes, boolean leads) {
        long unconfirmedBytes = 0;
        for (Iterator<Send> each = mSends.values().iterator(); each.hasNext(); ) {
            Send send = each.next();
            if (nowNanos - send.atNanos() >= EXPIRY_NANOS) {
                each.remove();
            } else {
                unconfirmedBytes += send.bytes();
            }
        }
        int maxBytes = leads ? MAX_LEADER_BYTES : MAX_UNCONFIRMED_BYTES;
        if (unconfirmedBytes > 0 && unconfirmedBytes + bytes > maxBytes) {
            return false;
        }
        mSends.put(receiver, new Send(nowNanos, bytes));
        return true;
    }
}
