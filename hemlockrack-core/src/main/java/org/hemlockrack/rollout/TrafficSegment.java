package org.hemlockrack.rollout;

import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

/**
 * Part of a model's traffic whose requests are compared with each other.
 *
 * @param workspace the workspace
 * @param kind kind of the requests
 */
public record TrafficSegment(WorkspaceId workspace, RequestKind kind) {
    @Override
    public String toString() {
        return workspace + "/" + kind;
    }
}
