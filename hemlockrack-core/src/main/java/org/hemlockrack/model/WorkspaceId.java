package org.hemlockrack.model;

/**
 * Identifies a workspace: the callers that share bearer keys, limits, a priority and a latency
 * objective.
 *
 * @param value the workspace name; see {@link Names#isValid}
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Rejects a workspace name that is not allowed. */
    public WorkspaceId {
        Names.requireValid("workspace name", value);
    }

    /**
     * Creates an identifier.
     *
     * @param value the workspace name
     * @return the identifier
     */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(value);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
