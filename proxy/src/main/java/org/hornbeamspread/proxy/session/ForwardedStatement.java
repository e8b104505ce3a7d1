package org.hornbeamspread.proxy.session;

import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/**
 * A statement that a database must run.
 *
 * @param request as the database gets it
 * @param kind what it does
 * @param shape what must be prepared first, if it executes a prepared statement
 */
record ForwardedStatement(SqlRequest request, Kind kind, Optional<PreparedDefinition> preparedDefinition) {
    /** What a forwarded statement does. */
    enum Kind {
        READ,
        WRITE,
        COMMIT
    }

    /** Resolves prepared names; empty for an unknown name, data that does not fit, or what no client may send. */
    static Optional<ForwardedStatement> of(SqlRequest request, Map<String, PreparedDefinition> prepared) {
        SqlStatement statement = request.statement();
        if (request.requiredPosition().isPresent()) {
            return Optional.empty();
        }
        if (statement instanceof SqlStatement.Read) {
            return Optional.of(new ForwardedStatement(request, Kind.READ, Optional.empty()));
        }
        if (statement instanceof SqlStatement.Write) {
            return Optional.of(new ForwardedStatement(request, Kind.WRITE, Optional.empty()));
        }
        if (statement instanceof SqlStatement.Commit) {
            return Optional.of(new ForwardedStatement(request, Kind.COMMIT, Optional.empty()));
        }
        if (statement instanceof SqlStatement.Execute execute) {
            PreparedDefinition shape = prepared.get(execute.name());
            if (shape == null || shape.write() != execute.data().isPresent()) {
                return Optional.empty();
            }
            SqlStatement renamed =
                    new SqlStatement.Execute(PooledConnection.preparedName(shape), execute.item(), execute.data());
            return Optional.of(new ForwardedStatement(
                    new SqlRequest(request.id(), Optional.empty(), renamed),
                    shape.write() ? Kind.WRITE : Kind.READ,
                    Optional.of(shape)));
        }
        return Optional.empty();
    }
}
