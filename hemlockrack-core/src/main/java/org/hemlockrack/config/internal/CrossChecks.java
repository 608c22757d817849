package org.hemlockrack.config.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.config.LimitsConfig;
import org.hemlockrack.config.ServiceConfig;
import org.hemlockrack.config.ServiceKind;
import org.hemlockrack.config.ValidationError;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;

/** Rules that involve more than one key. */
public final class CrossChecks {
    private final Configuration mConfiguration;
    private final List<ValidationError> mFaults = new ArrayList<>();

    private CrossChecks(Configuration configuration) {
        mConfiguration = configuration;
    }

    /**
     * Checks a configuration whose single keys are allowed.
     *
     * @param configuration the configuration
     * @return the faults
     */
    public static List<ValidationError> check(Configuration configuration) {
        CrossChecks checks = new CrossChecks(configuration);
        configuration.services().forEach(checks::service);
        configuration.workspaces().forEach(checks::workspace);
        checks.keyIds();
        checks.limits();
        return checks.mFaults;
    }

    private void service(ServiceId id, ServiceConfig service) {
        if (service.kind() == ServiceKind.MODEL && service.models().isEmpty()) {
            fault("nothing", "at least one model, as the kind is model", "services", id, "models");
        }
        if (service.kind() == ServiceKind.MODEL && !service.routes().isEmpty()) {
            fault("routes", "nothing, as the kind is model", "services", id, "routes");
        }
        if (service.kind() == ServiceKind.PLAIN && !service.models().isEmpty()) {
            fault("models", "nothing, as the kind is plain", "services", id, "models");
        }
    }

    private void workspace(WorkspaceId id, WorkspaceConfig workspace) {
        for (ServiceId service : workspace.services()) {
            if (!mConfiguration.services().containsKey(service)) {
                String found = '"' + service.value() + '"';
                fault(found, "names below services", "workspaces", id, "services");
            }
        }
        LatencyObjective promise = workspace.latencyObjective();
        if (promise.firstTokenMillis() > promise.wholeAnswerMillis()) {
            String found = String.valueOf(promise.firstTokenMillis());
            String allowed = "at most whole_answer_ms, " + promise.wholeAnswerMillis();
            fault(found, allowed, "workspaces", id, "promise", "first_token_ms");
        }
    }

    private void keyIds() {
        Map<String, WorkspaceId> owners = new HashMap<>();
        for (Map.Entry<WorkspaceId, WorkspaceConfig> entry :
                mConfiguration.workspaces().entrySet()) {
            for (String keyId : entry.getValue().keyIds()) {
                if (keyId.matches("[A-Za-z0-9][A-Za-z0-9_-]*")) {
                    checkOwner(owners, keyId, entry.getKey());
                } else {
                    String allowed = "letters, digits, _ and -";
                    fault("\"" + keyId + '"', allowed, "workspaces", entry.getKey(), "keys", keyId);
                }
            }
        }
    }

    private void checkOwner(Map<String, WorkspaceId> owners, String keyId, WorkspaceId workspace) {
        WorkspaceId other = owners.putIfAbsent(keyId, workspace);
        if (other != null) {
            String found = "a key id that workspace " + other + " also has";
            fault(found, "an id used once", "workspaces", workspace, "keys", keyId);
        }
    }

    /**
     * A claim must outlive the command that it covers, or a resend could run the command while the
     * first run is still in progress.
     */
    private void limits() {
        LimitsConfig limits = mConfiguration.limits();
        if (limits.claimExpiryMillis() < 2 * limits.requestTimeoutMillis()) {
            String found = String.valueOf(limits.claimExpiryMillis());
            String allowed = "at least twice request_ms, " + 2 * limits.requestTimeoutMillis();
            fault(found, allowed, "limits", "claim_expiry_ms");
        }
    }

    private void fault(String found, String allowed, Object... path) {
        List<String> segments = new ArrayList<>();
        for (Object segment : path) {
            segments.add(segment.toString());
        }
        mFaults.add(new ValidationError(KeyPath.join(segments), found, allowed));
    }
}
