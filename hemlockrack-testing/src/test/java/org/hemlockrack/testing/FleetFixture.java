package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * Test fixture: a fleet of four instances in three zones, with relays between the instances and
 * before the backend servers. Zone c has two instances, so that the loss of one of them is the loss
 * of an owner but not of the zone. The first three instances are voters.
 */
final class FleetFixture implements AutoCloseable {
    static final List<String> INSTANCES = List.of("i1", "i2", "i3", "i4");

    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();
    private int mBackendCount;

    private FleetFixture() {}

    /** Starts the instances and waits until the initial configuration is accepted. */
    static FleetFixture start() {
        FleetFixture fixture = new FleetFixture();
        try {
            fixture.startInstances();
            return fixture;
        } catch (RuntimeException e) {
            fixture.close();
            throw e;
        }
    }

    private void startInstances() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.addInstance("i4", "c");
        mFleet.openRelays();
        mFleet.startInstances(3, "");
        String configuration = mClient.initialConfiguration();
        mFleet.await(
                "first configuration",
                60,
                () ->
                        mClient.patchConfiguration(operatorAddress("i1"), 0, "first", configuration)
                                        .status()
                                == 200);
    }

    LocalFleet fleet() {
        return mFleet;
    }

    FleetClient client() {
        return mClient;
    }

    String callerAddress(String instance) {
        return mFleet.instance(instance).callerAddress();
    }

    String operatorAddress(String instance) {
        return mFleet.instance(instance).operatorAddress();
    }

    FleetProcess process(String instance) {
        return mFleet.instance(instance).process();
    }

    void startModelServer(String id, String zone, String... moreOptions) {
        mFleet.startBackend(id, zone, "assistant", "model", moreOptions);
        mBackendCount++;
    }

    void startPlainServer(String id, String zone, String... moreOptions) {
        mFleet.startBackend(id, zone, "bookings", "plain", moreOptions);
        mBackendCount++;
    }

    /**
     * Waits until all instances are ready and list all instances as alive and all servers as ready.
     */
    void awaitReady() {
        mFleet.await(
                "all instances and backend servers",
                60,
                () -> INSTANCES.stream().allMatch(this::isReady));
    }

    boolean isReady(String instance) {
        int readyServers = 0;
        for (JsonNode row :
                mClient.fetchPage(operatorAddress(instance), "backends").path("backends")) {
            readyServers += row.path("state").asText().equals("READY") ? 1 : 0;
        }
        int aliveInstances = 0;
        for (JsonNode row :
                mClient.fetchPage(operatorAddress(instance), "instances").path("instances")) {
            aliveInstances += row.path("status").asText().equals("ALIVE") ? 1 : 0;
        }
        return readyServers == mBackendCount
                && aliveInstances == INSTANCES.size()
                && reportsReady(instance);
    }

    boolean reportsReady(String instance) {
        return mClient.send(callerAddress(instance), "GET", "/readyz", Map.of(), "").status()
                == 200;
    }

    /** Waits until an instance reports a leader, and returns it. */
    String awaitLeader() {
        String[] leader = {""};
        mFleet.await(
                "a leader",
                30,
                () -> {
                    for (String instance : INSTANCES) {
                        leader[0] = fetchStatus(instance).path("leader").asText();
                        if (!leader[0].isEmpty()) {
                            return true;
                        }
                    }
                    return false;
                });
        return leader[0];
    }

    JsonNode fetchStatus(String instance) {
        return mClient.fetchPage(operatorAddress(instance), "status");
    }

    /** Returns the owner of a backend server as an instance reports it, or an empty string. */
    String findOwner(String instance, String backend) {
        for (JsonNode row :
                mClient.fetchPage(operatorAddress(instance), "backends").path("backends")) {
            if (row.path("id").asText().equals(backend)) {
                return row.path("owner").asText();
            }
        }
        return "";
    }

    JsonNode fetchStats(String backend) {
        return mClient.send(mFleet.backendAddress(backend), "GET", "/stats", Map.of(), "").json();
    }

    void postToBackend(String backend, String path, String body) {
        mClient.send(mFleet.backendAddress(backend), "POST", path, Map.of(), body);
    }

    /** Returns how often the booking with a body was executed. */
    int executionCount(String backend, String body) {
        return fetchStats(backend).path("runs").path("POST /cylinders " + body).asInt();
    }

    /** Returns the configuration version that an instance reports, or -1 if it reports none. */
    long configVersion(String instance) {
        FleetClient.Answer answer =
                mClient.send(operatorAddress(instance), "GET", "/operator/v1/config", Map.of(), "");
        return answer.status() == 200
                ? Long.parseLong(answer.header("ETag").replace("\"", ""))
                : -1;
    }

    @Override
    public void close() {
        mFleet.close();
    }
}
