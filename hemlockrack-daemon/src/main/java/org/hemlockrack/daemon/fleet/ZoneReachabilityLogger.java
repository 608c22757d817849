package org.hemlockrack.daemon.fleet;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.ZoneId;

/** Logs when an availability zone becomes unreachable and when it becomes reachable again. */
public final class ZoneReachabilityLogger implements Consumer<MembershipView> {
    private final EventLog mLog;

    private Set<String> mUnreachableZones = Set.of();

    private ZoneReachabilityLogger(EventLog log) {
        mLog = log;
    }

    /**
     * Creates a logger that initially regards all zones as reachable.
     *
     * @param log the log
     * @return the logger
     */
    public static ZoneReachabilityLogger of(EventLog log) {
        return new ZoneReachabilityLogger(log);
    }

    @Override
    public void accept(MembershipView view) {
        updateUnreachableZones(view.unreachableZones());
    }

    void updateUnreachableZones(Set<ZoneId> zones) {
        Set<String> unreachable = new TreeSet<>();
        zones.forEach(zone -> unreachable.add(zone.value()));
        for (String zone : unreachable) {
            if (!mUnreachableZones.contains(zone)) {
                mLog.log(LogEvent.ZONE_UNREACHABLE, "availability zone %s", zone);
            }
        }
        for (String zone : mUnreachableZones) {
            if (!unreachable.contains(zone)) {
                mLog.log(LogEvent.ZONE_REACHABLE, "availability zone %s", zone);
            }
        }
        mUnreachableZones = unreachable;
    }
}
