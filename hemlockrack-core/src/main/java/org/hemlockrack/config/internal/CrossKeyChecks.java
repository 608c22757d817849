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

/** Validation rules that involve more than one key. */
public final class CrossKeyChecks {
    private final Configuration mConfiguration;
    private final List<ValidationError> mErrors = new ArrayList<>();

    private CrossKeyChecks(Configuration configuration) {
        mConfiguration = configuration;
    }

    /**
     * Validates a configuration whose keys are valid one by one.
     *
     * @param configuration the configuration
     * @return the errors
     */
    public static List<ValidationError> check(Configuration configuration) {
        CrossKeyChecks checks = new CrossKeyChecks(configuration);
        configuration.services().forEach(checks::checkService);
        configuration.workspaces().forEach(checks::checkWorkspace);
        checks.checkKeyIds();
        checks.checkLimits();
        return checks.mErrors;
    }

    private void checkService(ServiceId id, ServiceConfig service) {
        if (service.kind() == ServiceKind.MODEL && service.models().isEmpty()) {
            addError(
                    "nothing",
                    "at least one model, as the kind is model",
                    "services",
                    id,
                    "models");
        }
        if (service.kind() == ServiceKind.MODEL && !service.routes().isEmpty()) {
            addError("routes", "nothing, as the kind is model", "services", id, "routes");
        }
        if (service.kind() == ServiceKind.PLAIN && !service.models().isEmpty()) {
            addError("models", "nothing, as the kind is plain", "services", id, "models");
        }
    }

    private void checkWorkspace(WorkspaceId id, WorkspaceConfig workspace) {
        for (ServiceId service : workspace.services()) {
            if (!mConfiguration.services().containsKey(service)) {
                String found = '"' + service.value() + '"';
                addError(found, "names below services", "workspaces", id, "services");
            }
        }
        LatencyObjective objective = workspace.latencyObjective();
        if (objective.firstTokenMillis() > objective.wholeAnswerMillis()) {
            String found = String.valueOf(objective.firstTokenMillis());
            String allowed = "at most whole_answer_ms, " + objective.wholeAnswerMillis();
            addError(found, allowed, "workspaces", id, "promise", "first_token_ms");
        }
    }

    private void checkKeyIds() {
        Map<String, WorkspaceId> owners = new HashMap<>();
        for (Map.Entry<WorkspaceId, WorkspaceConfig> entry :
                mConfiguration.workspaces().entrySet()) {
            for (String keyId : entry.getValue().keyIds()) {
                if (keyId.matches("[A-Za-z0-9][A-Za-z0-9_-]*")) {
                    checkSingleOwner(owners, keyId, entry.getKey());
                } else {
                    String allowed = "letters, digits, _ and -";
                    addError(
                            "\"" + keyId + '"',
                            allowed,
                            "workspaces",
                            entry.getKey(),
                            "keys",
                            keyId);
                }
            }
        }
    }

    private void checkSingleOwner(
            Map<String, WorkspaceId> owners, String keyId, WorkspaceId workspace) {
        WorkspaceId other = owners.putIfAbsent(keyId, workspace);
        if (other != null) {
            String found = "a key id that workspace " + other + " also has";
            addError(found, "an id used once", "workspaces", workspace, "keys", keyId);
        }
    }

    /**
     * A claim must outlive the command that it records. Otherwise a retry could execute the command
     * while the first execution is still in progress.
     */
    private void checkLimits() {
        LimitsConfig limits = mConfiguration.limits();
        if (limits.claimExpiryMillis() < 2 * limits.requestTimeoutMillis()) {
            String found = String.valueOf(limits.claimExpiryMillis());
            String allowed = "at least twice request_ms, " + 2 * limits.requestTimeoutMillis();
            addError(found, allowed, "limits", "claim_expiry_ms");
        }
    }

    private void addError(String found, String allowed, Object... path) {
        List<String> segments = new ArrayList<>();
        for (Object segment : path) {
            segments.add(segment.toString());
        }
        mErrors.add(new ValidationError(KeyPath.join(segments), found, allowed));
    }
}
