package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Presence;
import org.hornbeamspread.core.sql.ReplicaStatus;
import org.hornbeamspread.core.sql.SqlConnection;
import org.hornbeamspread.core.sql.SqlConnector;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;

/** Sends commands as SQL statements over one connection per instance, kept open while in use. Safe for any thread. */
public final class SqlAdministration implements DatabaseAdministration {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** A connection on which a command has no response for this long is closed. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

    private final SqlConnector connector;
    private final Function<SqlResult, ReplicaStatus> statusDecoder;
    private final Map<DatabaseKey, CompletableFuture<SqlConnection>> connections = new HashMap<>();

    /**
     * Creates an administration that opens its connections with the given connector.
     *
     * @param statusDecoder decodes the response to a command; fails with INVALID_REQUEST
     */
    public SqlAdministration(SqlConnector connector, Function<SqlResult, ReplicaStatus> statusDecoder) {
        this.connector = connector;
        this.statusDecoder = statusDecoder;
    }

    @Override
    public CompletableFuture<ReplicaStatus> status(DatabaseInstance instance) {
        return sendCommand(instance, new SqlStatement.Status());
    }

    @Override
    public CompletableFuture<ReplicaStatus> pause(DatabaseInstance instance, long term) {
        return sendCommand(instance, new SqlStatement.PauseReplication(term));
    }

    /**
     * Uses a connection of its own. Responses carry no id, so that on a shared connection the response to a later status request
     * would pass for that to a resume which has none, and may be carried out late.
     */
    @Override
    public CompletableFuture<ReplicaStatus> resume(DatabaseInstance instance) {
        CompletableFuture<SqlConnection> connection = connector.connect(instance, Caller.ANONYMOUS, CONNECT_TIMEOUT);
        return sendCommand(connection, instance, new SqlStatement.ResumeReplication())
                .whenComplete((status, error) -> connection.thenAccept(SqlConnection::close));
    }

    @Override
    public CompletableFuture<ReplicaStatus> demote(DatabaseInstance instance, long term) {
        return sendCommand(instance, new SqlStatement.Demote(term));
    }

    @Override
    public CompletableFuture<Optional<LogPosition>> probePrimary(DatabaseInstance instance) {
        List<SqlRequest> probe = List.of(
                SqlRequest.internal(new SqlStatement.Begin(false)), SqlRequest.internal(new SqlStatement.Rollback()));
        return sendBatch(openConnection(instance), instance, probe)
                .thenApply(beginResult -> beginResult.isSuccess() ? beginResult.position() : Optional.empty());
    }

    @Override
    public CompletableFuture<Presence> presence(DatabaseInstance instance) {
        return connector.connect(instance, Caller.ANONYMOUS, CONNECT_TIMEOUT).handle((connection, error) -> {
            if (error == null) {
                connection.close();
                return Presence.RUNNING;
            }
            return SqlConnector.presence(FailureException.of(error).type());
        });
    }

    @Override
    public synchronized void retainConnections(Collection<DatabaseInstance> instances) {
        List<DatabaseKey> retainedKeys = instances.stream().map(DatabaseKey::of).toList();
        connections.entrySet().removeIf(entry -> {
            boolean obsolete = !retainedKeys.contains(entry.getKey());
            if (obsolete) {
                entry.getValue().thenAccept(SqlConnection::close);
            }
            return obsolete;
        });
    }

    private CompletableFuture<ReplicaStatus> sendCommand(DatabaseInstance instance, SqlStatement statement) {
        return sendCommand(openConnection(instance), instance, statement);
    }

    private CompletableFuture<ReplicaStatus> sendCommand(
            CompletableFuture<SqlConnection> opened, DatabaseInstance instance, SqlStatement statement) {
        return sendBatch(opened, instance, List.of(SqlRequest.internal(statement)))
                .thenApply(result -> {
                    if (result.hasError(SqlError.BUSY)) {
                        throw new FailureException(FailureType.QUEUE_FULL, instance.instanceId());
                    }
                    return statusDecoder.apply(result);
                });
    }

    /** Sends requests in one batch. Completes with the first result once all results have arrived. */
    private CompletableFuture<SqlResult> sendBatch(
            CompletableFuture<SqlConnection> opened, DatabaseInstance instance, List<SqlRequest> requests) {
        return opened.thenCompose(connection -> {
            List<CompletableFuture<SqlResult>> results = connection.send(requests);
            return results.get(results.size() - 1)
                    .thenCompose(last -> results.get(0))
                    .orTimeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .handle((result, error) -> {
                        if (error == null) {
                            return result;
                        }
                        connection.close();
                        throw error instanceof TimeoutException
                                ? new FailureException(FailureType.REQUEST_TIMEOUT, instance.instanceId())
                                : FailureException.of(error);
                    });
        });
    }

    private synchronized CompletableFuture<SqlConnection> openConnection(DatabaseInstance instance) {
        DatabaseKey key = DatabaseKey.of(instance);
        CompletableFuture<SqlConnection> connection = connections.get(key);
        boolean usable = connection != null
                && !connection.isCompletedExceptionally()
                && (!connection.isDone() || connection.join().isOpen());
        if (!usable) {
            connection = connector.connect(instance, Caller.ANONYMOUS, CONNECT_TIMEOUT);
            connections.put(key, connection);
        }
        return connection;
    }

    private record DatabaseKey(String instanceId, long bornMs, String address) {
        static DatabaseKey of(DatabaseInstance instance) {
            return new DatabaseKey(
                    instance.instanceId(), instance.bornMs(), instance.address().toString());
        }
    }
}
