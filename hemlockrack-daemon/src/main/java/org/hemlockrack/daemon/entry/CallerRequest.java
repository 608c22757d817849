package org.hemlockrack.daemon.entry;

import java.util.Set;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.placement.PlacementFilter;
import org.hemlockrack.placement.PlacementKey;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request after it was authenticated and classified.
 *
 * @param id id of the request, unique over instances
 * @param call the request as it is sent to a backend server
 * @param workspace workspace of the caller
 * @param workspaceConfig its configuration when the request arrived
 * @param service the service
 * @param model the model; the service's name for a plain service
 * @param kind kind of the request
 * @param placementKey key by which the request is placed on a server
 * @param firstTurn whether the request starts a chat
 * @param idempotencyKey the caller's key, or null
 * @param firstByteDeadlineNanos when the first byte of the answer is due
 * @param deadlineNanos when the whole answer is due
 */
public record CallerRequest(
        String id,
        HttpCall call,
        WorkspaceId workspace,
        WorkspaceConfig workspaceConfig,
        ServiceId service,
        String model,
        RequestKind kind,
        PlacementKey placementKey,
        boolean firstTurn,
        @Nullable String idempotencyKey,
        long firstByteDeadlineNanos,
        long deadlineNanos) {

    PlacementFilter placementFilter(Set<BackendId> excluded) {
        return new PlacementFilter(service, model, excluded, firstTurn);
    }
}
