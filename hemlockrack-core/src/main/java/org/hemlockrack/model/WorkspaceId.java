package org.hemlockrack.model;

/**
 * Names one workspace.
 *
 * @param value the workspace name, not empty
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Rejects an empty workspace name. */
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
