package org.hornbeamspread.core.route;

/**
 * On whose behalf a statement runs. A connection to a database serves one caller's workspace from its start.
 *
 * @param workspace the name of the workspace; empty where callers need no key
 * @param priority the priority of the workspace; 0 is the most urgent
 */
public record Caller(String workspace, int priority) {
    /** A caller without a workspace. */
    public static final Caller ANONYMOUS = new Caller("", 0);

    /** The callers that are recognized by a workspace's keys. */
    public static Caller of(Workspace workspace) {
        return new Caller(workspace.name(), workspace.priority());
    }

    /** Whether the caller belongs to no workspace. */
    public boolean isAnonymous() {
        return workspace.isEmpty();
    }
}
