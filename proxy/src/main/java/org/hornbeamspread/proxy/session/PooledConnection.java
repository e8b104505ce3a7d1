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
 * A database connection that sessions use by turns, with the values and prepared statements that it holds. A prepared name is
 * made from its shape, so that sessions with the same shape share it and no name stands for two shapes.
 */
final class PooledConnection {
    /** Prepared statements kept on one connection before it is reset. */
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

    /** Nobody uses it from now on. */
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

    boolean hasValues(Map<String, String> wanted) {
        return values.equals(wanted);
    }

    /** The name under which a shape is prepared here. */
    static String preparedName(PreparedDefinition shape) {
        return (shape.write() ? "w_" : "r_") + shape.text().replace(' ', '_');
    }

    /** What must be sent first, so that the connection holds a session's values and a shape; null for no shape. */
    List<SqlRequest> setUpRequests(Map<String, String> wanted, PreparedDefinition shape) {
        List<SqlRequest> requests = new ArrayList<>();
        boolean surplus = !wanted.keySet().containsAll(values.keySet());
        if (surplus || prepared.size() >= MAX_PREPARED_STATEMENTS) {
            requests.add(SqlRequest.internal(new SqlStatement.Reset()));
            values.clear();
            prepared.clear();
        }
        wanted.forEach((name, value) -> {
            if (!value.equals(values.put(name, value))) {
                requests.add(SqlRequest.internal(new SqlStatement.SetValue(name, value)));
            }
        });
        if (shape != null && prepared.add(shape)) {
            requests.add(SqlRequest.internal(new SqlStatement.Prepare(preparedName(shape), shape)));
        }
        return requests;
    }

    List<CompletableFuture<SqlResult>> send(List<SqlRequest> requests) {
        List<CompletableFuture<SqlResult>> results = connection.send(requests);
        for (CompletableFuture<SqlResult> result : results) {
            reachability.onRequestSent(clock.millis());
            result.whenComplete((answer, error) -> {
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
