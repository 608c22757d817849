package org.hemlockrack.routing;

import java.util.List;
import org.hemlockrack.model.WorkspaceId;

/**
 * The keys of one workspace.
 *
 * @param workspace the workspace
 * @param keys its bearer keys
 * @param priorityRank priority that overrides that of the route, 0 is the most urgent; -1 for no
 *     override
 */
public record WorkspaceKeys(WorkspaceId workspace, List<String> keys, int priorityRank) {
    /** Copies the list. */
    public WorkspaceKeys {
        keys = List.copyOf(keys);
    }
}
