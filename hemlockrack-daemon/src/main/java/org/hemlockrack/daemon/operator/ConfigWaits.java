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
 * Operators who wait until a version is in force: feeds {@link ConfigPropagation} with what this
 * instance knows about the fleet. Confined to the loop except {@link #start}.
 */
final class ConfigWaits {
    private static final int STATUS_OK = 200;

    /** The view changes with each report; this only bounds the effect of a report between two. */
    private static final long REFRESH_MILLIS = 50;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final DeciderRunner<ConfigPropagation.Event, ConfigPropagation.Output> mRunner;
    private final Map<Long, Responder> mWaiting = new HashMap<>();
    private final Map<InstanceId, Long> mReported = new HashMap<>();

    private Set<InstanceId> mReachable = Set.of();
    private long mNextWaitId;

    private ConfigWaits(EventLoop loop, FleetMembership fleet, ConfigService config) {
        mLoop = loop;
        mFleet = fleet;
        mConfig = config;
        mRunner = DeciderRunner.create(loop, ConfigPropagation.create(), this::carryOut);
    }

    static ConfigWaits create(EventLoop loop, FleetMembership fleet, ConfigService config) {
        ConfigWaits waits = new ConfigWaits(loop, fleet, config);
        loop.scheduleWithFixedDelay(REFRESH_MILLIS, waits::refreshIfWaiting);
        return waits;
    }

    /**
     * Answers once the version is in force on every reachable instance, or at the timeout.
     *
     * @param version the version
     * @param timeoutMillis longest wait in milliseconds
     * @param responder takes the answer
     */
    void start(long version, long timeoutMillis, Responder responder) {
        mLoop.execute(() -> open(version, timeoutMillis, responder));
    }

    private void open(long version, long timeoutMillis, Responder responder) {
        long id = ++mNextWaitId;
        mWaiting.put(id, responder);
        responder.onCancel(() -> mLoop.execute(() -> cancel(id)));
        refresh();
        long endNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        mRunner.handleEvent(new ConfigPropagation.WaitStarted(id, version, endNanos));
    }

    private void cancel(long id) {
        if (mWaiting.remove(id) != null) {
            mRunner.handleEvent(new ConfigPropagation.WaitCancelled(id));
        }
    }

    private void refreshIfWaiting() {
        if (!mWaiting.isEmpty()) {
            refresh();
        }
    }

    private void refresh() {
        Set<InstanceId> reachable = new TreeSet<>();
        for (Member member : mFleet.view().members().values()) {
            if (member.id().equals(mFleet.selfId()) || member.status().isReachable()) {
                reachable.add(member.id());
            }
        }
        if (!reachable.equals(mReachable)) {
            mReachable = reachable;
            mReported.clear();
            mRunner.handleEvent(new ConfigPropagation.ReachableChanged(reachable));
        }
        for (InstanceId id : reachable) {
            report(id, held(id));
        }
    }

    private void report(InstanceId id, long version) {
        Long before = mReported.put(id, version);
        if (before == null || before != version) {
            mRunner.handleEvent(new ConfigPropagation.VersionReported(id, version));
        }
    }

    private long held(InstanceId id) {
        Member member = mFleet.view().members().get(id);
        boolean self = id.equals(mFleet.selfId());
        return self || member == null ? mConfig.current().version() : member.configVersion();
    }

    private void carryOut(ConfigPropagation.Output output) {
        if (output instanceof ConfigPropagation.WaitEnded ended) {
            answer(ended);
        } else if (output instanceof ConfigPropagation.WaitRefused refused) {
            Responder responder = mWaiting.remove(refused.waitId());
            String text = "more than " + ConfigPropagation.MAX_WAITS + " operators wait";
            responder.sendError(ErrorKind.OVERLOADED, text, 1_000);
        }
    }

    private void answer(ConfigPropagation.WaitEnded ended) {
        Responder responder = mWaiting.remove(ended.waitId());
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
            boolean counted = mReachable.contains(member.id());
            if (!counted && member.configVersion() < status.version()) {
                unreachable.add(member.id().value());
            }
        }
        responder.sendJson(STATUS_OK, json.toString());
    }
}
