package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/**
 * A fleet of four instances in three zones with relays between all processes. Zone c has two
 * instances, so that the loss of one of them is the loss of an owner and not of a zone. The first
 * three instances are voters.
 */
final class FleetRig implements AutoCloseable {
    static final List<String> INSTANCES = List.of("i1", "i2", "i3", "i4");

    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();
    private int mBackends;

    private FleetRig() {}

    /** Starts the instances with the first configuration in force. */
    static FleetRig start() {
        FleetRig rig = new FleetRig();
        try {
            rig.startInstances();
            return rig;
        } catch (RuntimeException e) {
            rig.close();
            throw e;
        }
    }

    private void startInstances() {
        mFleet.addInstance("i1", "a");
        mFleet.addInstance("i2", "b");
        mFleet.addInstance("i3", "c");
        mFleet.addInstance("i4", "c");
        mFleet.link();
        mFleet.startInstances(3, "");
        String first = mClient.initialConfiguration();
        mFleet.await(
                "first configuration",
                60,
                () ->
                        mClient.patchConfiguration(operators("i1"), 0, "first", first).status()
                                == 200);
    }

    LocalFleet fleet() {
        return mFleet;
    }

    FleetClient client() {
        return mClient;
    }

    String callers(String instance) {
        return mFleet.instance(instance).callerAddress();
    }

    String operators(String instance) {
        return mFleet.instance(instance).operatorAddress();
    }

    FleetProcess process(String instance) {
        return mFleet.instance(instance).process();
    }

    void model(String id, String zone, String... more) {
        mFleet.startBackend(id, zone, "assistant", "model", more);
        mBackends++;
    }

    void plain(String id, String zone, String... more) {
        mFleet.startBackend(id, zone, "bookings", "plain", more);
        mBackends++;
    }

    /** Waits until all instances are ready and know all backend servers with a live owner. */
    void awaitReady() {
        mFleet.await(
                "all instances and backend servers",
                60,
                () -> INSTANCES.stream().allMatch(this::ready));
    }

    boolean ready(String instance) {
        int ready = 0;
        for (JsonNode row : mClient.fetchPage(operators(instance), "backends").path("backends")) {
            ready += row.path("state").asText().equals("READY") ? 1 : 0;
        }
        int alive = 0;
        for (JsonNode row : mClient.fetchPage(operators(instance), "instances").path("instances")) {
            alive += row.path("status").asText().equals("ALIVE") ? 1 : 0;
        }
        return ready == mBackends && alive == INSTANCES.size() && readyPage(instance);
    }

    boolean readyPage(String instance) {
        return mClient.send(callers(instance), "GET", "/readyz", Map.of(), "").status() == 200;
    }

    /** Returns the leader as a live instance knows it, waiting until there is one. */
    String leader() {
        String[] found = {""};
        mFleet.await(
                "a leader",
                30,
                () -> {
                    for (String instance : INSTANCES) {
                        found[0] = status(instance).path("leader").asText();
                        if (!found[0].isEmpty()) {
                            return true;
                        }
                    }
                    return false;
                });
        return found[0];
    }

    JsonNode status(String instance) {
        return mClient.fetchPage(operators(instance), "status");
    }

    /** Returns the instance that owns a backend server as another instance knows it. */
    String owner(String asked, String backend) {
        for (JsonNode row : mClient.fetchPage(operators(asked), "backends").path("backends")) {
            if (row.path("id").asText().equals(backend)) {
                return row.path("owner").asText();
            }
        }
        return "";
    }

    JsonNode stats(String backend) {
        return mClient.send(mFleet.backendAddress(backend), "GET", "/stats", Map.of(), "").json();
    }

    void backendPost(String backend, String path, String body) {
        mClient.send(mFleet.backendAddress(backend), "POST", path, Map.of(), body);
    }

    /** Returns how often a booking with a body ran. */
    int runs(String backend, String body) {
        return stats(backend).path("runs").path("POST /cylinders " + body).asInt();
    }

    /** Returns the version that an instance shows, or -1 if it shows none. */
    long version(String instance) {
        FleetClient.Answer page =
                mClient.send(operators(instance), "GET", "/operator/v1/config", Map.of(), "");
        return page.status() == 200 ? Long.parseLong(page.header("ETag").replace("\"", "")) : -1;
    }

    @Override
    public void close() {
        mFleet.close();
    }
}
