package org.hemlockrack.config;

import java.util.Set;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.ServiceId;

/**
 * Configuration of one workspace.
 *
 * @param priority priority class
 * @param services services that the workspace may call
 * @param maxConcurrentRequests most requests in flight
 * @param requestsPerSecond sustained request rate
 * @param latencyObjective latency objective
 * @param keyIds ids of its bearer keys
 */
public record WorkspaceConfig(
        Priority priority,
        Set<ServiceId> services,
        int maxConcurrentRequests,
        double requestsPerSecond,
        LatencyObjective latencyObjective,
        Set<String> keyIds) {
    /** Copies the sets. */
    public WorkspaceConfig {
        services = Set.copyOf(services);
        keyIds = Set.copyOf(keyIds);
    }
}
