package org.hornbeamspread.core.route;

/**
 * The route of the sessions that open one database name.
 *
 * @param name the name of the route
 * @param database the database name that sessions open
 * @param service the service whose databases serve the route
 * @param kind the consistency of reads
 * @param priority the priority of statements; 0 is the most urgent
 * @param statementTimeoutMs the timeout of one statement
 * @param targetMs the latency target of a whole operation; 0 for none
 * @param maxStalenessMs the maximum staleness of a read; ignored for the kind PRIMARY
 * @param publicAccess whether sessions need no key, also where the configuration has workspaces
 */
public record Route(
        String name,
        String database,
        String service,
        RouteKind kind,
        int priority,
        long statementTimeoutMs,
        long targetMs,
        long maxStalenessMs,
        boolean publicAccess) {
    /** A route without public access. */
    public Route(
            String name,
            String database,
            String service,
            RouteKind kind,
            int priority,
            long statementTimeoutMs,
            long targetMs,
            long maxStalenessMs) {
        this(name, database, service, kind, priority, statementTimeoutMs, targetMs, maxStalenessMs, false);
    }
}
