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

final class ZoneWatchTest {
    private static final ZoneId B = ZoneId.of("b");

    /** Guards against a cut that is not logged, or is logged again with each view. */
    @Test
    void logsEachChangeOnce() {
        Lines lines = new Lines();
        Logger root = Logger.getLogger("");
        root.addHandler(lines);
        try {
            ZoneReachabilityLogger logger = ZoneReachabilityLogger.of(EventLog.create());
            logger.cut(Set.of());
            logger.cut(Set.of(B));
            logger.cut(Set.of(B));
            logger.cut(Set.of());
        } finally {
            root.removeHandler(lines);
        }
        assertEquals(
                List.of(
                        "HR1302 ZONE_UNREACHABLE availability zone b",
                        "HR1303 ZONE_REACHABLE availability zone b"),
                lines.mTexts);
    }

    private static final class Lines extends Handler {
        private final List<String> mTexts = new ArrayList<>();

        @Override
        public void publish(LogRecord line) {
            mTexts.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
