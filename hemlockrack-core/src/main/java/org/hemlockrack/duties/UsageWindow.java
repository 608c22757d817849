package org.hemlockrack.duties;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.wire.UsageWindowData;

/**
 * Requests that began to run in one window of fleet time.
 *
 * @param id the window begins this many intervals after the start of 1970
 * @param counts requests by workspace
 */
public record UsageWindow(long id, Map<String, Long> counts) {
    /** Keeps the order of workspaces, so that all repeats of a report are equal byte by byte. */
    public UsageWindow {
        counts = Collections.unmodifiableMap(new TreeMap<>(counts));
    }

    /** Returns the window as Thrift data. */
    public UsageWindowData toData() {
        return new UsageWindowData(id, counts);
    }

    /** Returns the window of Thrift data. */
    public static UsageWindow of(UsageWindowData data) {
        return new UsageWindow(data.getWindowId(), data.getCounts());
    }
}
