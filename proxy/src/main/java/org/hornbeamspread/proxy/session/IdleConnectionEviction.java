package org.hornbeamspread.proxy.session;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Selects the idle connection that is closed to make room for one of another workspace. The longest idle one of all would often
 * be the only one of a workspace with little load, whose next request then waits for a new connection, while a workspace that
 * has just been busy keeps several.
 */
final class IdleConnectionEviction {
    private IdleConnectionEviction() {}

    /**
     * The longest idle connection of the workspace with the most idle connections; of several such workspaces, the one with the
     * longest idle connection. Without workspaces, the longest idle connection.
     *
     * @param idle the idle connections, the longest idle one last; not empty
     */
    static PooledConnection select(Collection<PooledConnection> idle) {
        Map<String, Integer> countByWorkspace = new HashMap<>();
        idle.forEach(connection -> countByWorkspace.merge(connection.caller().workspace(), 1, Integer::sum));
        int largest = countByWorkspace.values().stream().max(Integer::compare).orElseThrow();
        return idle.stream()
                .filter(connection -> countByWorkspace.get(connection.caller().workspace()) == largest)
                .reduce((newer, older) -> older)
                .orElseThrow();
    }
}
