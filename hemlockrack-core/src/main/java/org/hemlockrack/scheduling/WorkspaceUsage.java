package org.hemlockrack.scheduling;

/**
 * Requests of one workspace and priority rank at one service.
 *
 * @param rank priority rank, 0 is the most urgent
 * @param workspace name of the workspace, empty for callers without one
 * @param running requests in progress at servers
 * @param waiting requests that wait for a free slot
 */
public record WorkspaceUsage(int rank, String workspace, int running, int waiting) {
    /** Stands for all workspaces together where no request waits; no workspace has this name. */
    public static final String ALL_WORKSPACES = "*";
}
