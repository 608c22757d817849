package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.config.ConfigPropagation;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.membership.Member;
import org.hemlockrack.model.InstanceId;

/**
 * Delays responses to operators until a configuration version is in force. Reports the reachable
 * instances and their versions to {@link ConfigPropagation}, which decides when a wait ends.
 * Confined to the loop except {@link #start}.
 */
final class ConfigWaitService {
    private static final int STATUS_OK = 200;

    /**
     * Interval at which the fleet view is read while an operator waits. A wait ends up to this long
     * after the view shows the version.
     */
    private static final long POLL_INTERVAL_MILLIS = 50;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final DeciderRunner<ConfigPropagation.Event, ConfigPropagation.Output> mRunner;
    private final Map<Long, Responder> mResponders = new HashMap<>();
    private final Map<InstanceId, Long> mReportedVersions = new HashMap<>();

    private Set<InstanceId> mReachable = Set.of();
    private long mNextWaitId;

    private ConfigWaitService(EventLoop loop, FleetMembership fleet, ConfigService config) {
        mLoop = loop;
        mFleet = fleet;
        mConfig = config;
        mRunner = DeciderRunner.create(loop, ConfigPropagation.create(), this::handleOutput);
    }

    static ConfigWaitService create(EventLoop loop, FleetMembership fleet, ConfigService config) {
        ConfigWaitService service = new ConfigWaitService(loop, fleet, config);
        loop.scheduleWithFixedDelay(POLL_INTERVAL_MILLIS, service::reportFleetIfWaiting);
        return service;
    }

    /**
     * Responds once the version is in force on every reachable instance, or at the timeout. The
     * response says whether it is in force, and lists the instances that lack it.
     *
     * @param version the version
     * @param timeoutMillis longest wait in milliseconds
     * @param responder sends the response
     */
    void start(long version, long timeoutMillis, Responder responder) {
        mLoop.execute(() -> startOnLoop(version, timeoutMillis, responder));
    }

    private void startOnLoop(long version, long timeoutMillis, Responder responder) {
        long id = ++mNextWaitId;
        mResponders.put(id, responder);
        responder.onCancel(() -> mLoop.execute(() -> cancel(id)));
        reportFleet();
        long deadlineNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        mRunner.handleEvent(new ConfigPropagation.WaitStarted(id, version, deadlineNanos));
    }

    private void cancel(long id) {
        if (mResponders.remove(id) != null) {
            mRunner.handleEvent(new ConfigPropagation.WaitCancelled(id));
        }
    }

    private void reportFleetIfWaiting() {
        if (!mResponders.isEmpty()) {
            reportFleet();
        }
    }

    private void reportFleet() {
        Set<InstanceId> reachable = new TreeSet<>();
        for (Member member : mFleet.view().members().values()) {
            if (member.id().equals(mFleet.selfId()) || member.status().isReachable()) {
                reachable.add(member.id());
            }
        }
        if (!reachable.equals(mReachable)) {
            mReachable = reachable;
            mReportedVersions.clear();
            mRunner.handleEvent(new ConfigPropagation.ReachableChanged(reachable));
        }
        for (InstanceId id : reachable) {
            reportVersion(id, versionOf(id));
        }
    }

    private void reportVersion(InstanceId id, long version) {
        Long previous = mReportedVersions.put(id, version);
        if (previous == null || previous != version) {
            mRunner.handleEvent(new ConfigPropagation.VersionReported(id, version));
        }
    }

    private long versionOf(InstanceId id) {
        Member member = mFleet.view().members().get(id);
        boolean isSelf = id.equals(mFleet.selfId());
        return isSelf || member == null ? mConfig.current().version() : member.configVersion();
    }

    private void handleOutput(ConfigPropagation.Output output) {
        if (output instanceof ConfigPropagation.WaitEnded ended) {
            sendStatus(ended);
        } else if (output instanceof ConfigPropagation.WaitRefused refused) {
            Responder responder = mResponders.remove(refused.waitId());
            String text = "more than " + ConfigPropagation.MAX_WAITS + " operators are waiting";
            responder.sendError(ErrorKind.OVERLOADED, text, 1_000);
        }
    }

    private void sendStatus(ConfigPropagation.WaitEnded ended) {
        Responder responder = mResponders.remove(ended.waitId());
        if (responder == null) {
            return;
        }
        ConfigPropagation.Status status = ended.status();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", status.version());
        json.put("in_force", status.inForce());
        ArrayNode missing = json.putArray("missing");
        status.lagging().forEach(id -> missing.add(id.value()));
        ArrayNode unreachable = json.putArray("unreachable");
        for (Member member : mFleet.view().members().values()) {
            boolean isReachable = mReachable.contains(member.id());
            if (!isReachable && member.configVersion() < status.version()) {
                unreachable.add(member.id().value());
            }
        }
        responder.sendJson(STATUS_OK, json.toString());
    }
}
