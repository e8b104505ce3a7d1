package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.placement.Reachability;
import org.hornbeamspread.core.sql.SqlConnection;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/**
 * A database connection that sessions use in turn, with the session values and prepared statements set on the connection. The
 * name of a prepared statement is derived from its definition: sessions with the same definition share the prepared statement,
 * and no name stands for two definitions.
 */
final class PooledConnection {
    /** Prepared statements on one connection before the connection is reset. */
    private static final int MAX_PREPARED_STATEMENTS = 256;

    private final SqlConnection connection;
    private final Reachability reachability;
    private final Clock clock;
    private long idleSinceMs;
    private final Map<String, String> values = new TreeMap<>();
    private final Set<PreparedDefinition> prepared = new HashSet<>();

    PooledConnection(SqlConnection connection, Reachability reachability, Clock clock) {
        this.connection = connection;
        this.reachability = reachability;
        this.clock = clock;
    }

    /** Records that the connection is idle from now on. */
    void onIdle() {
        idleSinceMs = clock.millis();
    }

    long idleSinceMs() {
        return idleSinceMs;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void close() {
        connection.close();
    }

    boolean hasValues(Map<String, String> sessionValues) {
        return values.equals(sessionValues);
    }

    /** The name of the prepared statement for a definition. */
    static String preparedName(PreparedDefinition definition) {
        return (definition.write() ? "w_" : "r_") + definition.text().replace(' ', '_');
    }

    /**
     * The requests that must be sent first, so that the connection has a session's values and a prepared statement.
     *
     * @param definition of the prepared statement; null for none
     */
    List<SqlRequest> setUpRequests(Map<String, String> sessionValues, PreparedDefinition definition) {
        List<SqlRequest> requests = new ArrayList<>();
        boolean surplus = !sessionValues.keySet().containsAll(values.keySet());
        if (surplus || prepared.size() >= MAX_PREPARED_STATEMENTS) {
            requests.add(SqlRequest.internal(new SqlStatement.Reset()));
            values.clear();
            prepared.clear();
        }
        sessionValues.forEach((name, value) -> {
            if (!value.equals(values.put(name, value))) {
                requests.add(SqlRequest.internal(new SqlStatement.SetValue(name, value)));
            }
        });
        if (definition != null && prepared.add(definition)) {
            requests.add(SqlRequest.internal(new SqlStatement.Prepare(preparedName(definition), definition)));
        }
        return requests;
    }

    List<CompletableFuture<SqlResult>> send(List<SqlRequest> requests) {
        List<CompletableFuture<SqlResult>> results = connection.send(requests);
        for (CompletableFuture<SqlResult> result : results) {
            reachability.onRequestSent(clock.millis());
            result.whenComplete((response, error) -> {
                if (error == null) {
                    reachability.onResponse(clock.millis());
                } else {
                    reachability.onRequestAbandoned();
                }
            });
        }
        return results;
    }
}
