package org.hemlockrack.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.model.ZoneId;
import org.junit.jupiter.api.Test;

final class ZoneReachabilityLoggerTest {
    private static final ZoneId B = ZoneId.of("b");

    /** Guards against a change of reachability that is not logged, or is logged with each view. */
    @Test
    void logsEachChangeOnce() {
        CapturingHandler lines = new CapturingHandler();
        Logger root = Logger.getLogger("");
        root.addHandler(lines);
        try {
            ZoneReachabilityLogger logger = ZoneReachabilityLogger.of(EventLog.create());
            logger.updateUnreachableZones(Set.of());
            logger.updateUnreachableZones(Set.of(B));
            logger.updateUnreachableZones(Set.of(B));
            logger.updateUnreachableZones(Set.of());
        } finally {
            root.removeHandler(lines);
        }
        assertEquals(
                List.of(
                        "HR1302 ZONE_UNREACHABLE availability zone b",
                        "HR1303 ZONE_REACHABLE availability zone b"),
                lines.mMessages);
    }

    private static final class CapturingHandler extends Handler {
        private final List<String> mMessages = new ArrayList<>();

        @Override
        public void publish(LogRecord line) {
            mMessages.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
