package org.hemlockrack.daemon.fleet;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.ZoneId;

/** Logs when an availability zone is cut off and when it answers again. */
public final class ZoneReachabilityLogger implements Consumer<MembershipView> {
    private final EventLog mLog;

    private Set<String> mCut = Set.of();

    private ZoneReachabilityLogger(EventLog log) {
        mLog = log;
    }

    /**
     * Creates a logger that takes all zones for reachable.
     *
     * @param log the log
     * @return the logger
     */
    public static ZoneReachabilityLogger of(EventLog log) {
        return new ZoneReachabilityLogger(log);
    }

    @Override
    public void accept(MembershipView view) {
        cut(view.unreachableZones());
    }

    void cut(Set<ZoneId> zones) {
        Set<String> cut = new TreeSet<>();
        zones.forEach(zone -> cut.add(zone.value()));
        for (String zone : cut) {
            if (!mCut.contains(zone)) {
                mLog.log(LogEvent.ZONE_UNREACHABLE, "availability zone %s", zone);
            }
        }
        for (String zone : mCut) {
            if (!cut.contains(zone)) {
                mLog.log(LogEvent.ZONE_REACHABLE, "availability zone %s", zone);
            }
        }
        mCut = cut;
    }
}
