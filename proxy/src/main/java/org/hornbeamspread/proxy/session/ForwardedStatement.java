package org.hornbeamspread.proxy.session;

import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;

/**
 * A statement to be forwarded to a database.
 *
 * @param request the request in the form in which the database receives it
 * @param kind the kind of the statement
 * @param preparedDefinition the definition to prepare first if the statement executes a prepared statement; else empty
 */
record ForwardedStatement(SqlRequest request, Kind kind, Optional<PreparedDefinition> preparedDefinition) {
    /** The kind of a forwarded statement. */
    enum Kind {
        READ,
        WRITE,
        COMMIT
    }

    /**
     * Resolves the names of prepared statements. Empty for an unknown name, for data that does not match the prepared
     * definition, and for requests that clients must not send.
     */
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
            PreparedDefinition definition = prepared.get(execute.name());
            if (definition == null || definition.write() != execute.data().isPresent()) {
                return Optional.empty();
            }
            SqlStatement renamed =
                    new SqlStatement.Execute(PooledConnection.preparedName(definition), execute.item(), execute.data());
            return Optional.of(new ForwardedStatement(
                    new SqlRequest(request.id(), Optional.empty(), renamed),
                    definition.write() ? Kind.WRITE : Kind.READ,
                    Optional.of(definition)));
        }
        return Optional.empty();
    }
}
