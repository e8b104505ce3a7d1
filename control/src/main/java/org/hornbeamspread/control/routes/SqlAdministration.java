package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.sql.ReplicaStatus;
import org.hornbeamspread.core.sql.SqlConnection;
import org.hornbeamspread.core.sql.SqlConnector;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;

/** Commands as statements on one connection an instance, kept open while it is used. Safe for any thread. */
public final class SqlAdministration implements DatabaseAdministration {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** A connection that leaves a command unanswered for this long is closed. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

    private final SqlConnector connector;
    private final Function<SqlResult, ReplicaStatus> statusDecoder;
    private final Map<DatabaseKey, CompletableFuture<SqlConnection>> connections = new HashMap<>();

    /**
     * Commands over a connector.
     *
     * @param decoder reads the answer to a command; fails with INVALID_REQUEST
     */
    public SqlAdministration(SqlConnector connector, Function<SqlResult, ReplicaStatus> decoder) {
        this.connector = connector;
        this.statusDecoder = decoder;
    }

    @Override
    public CompletableFuture<ReplicaStatus> status(DatabaseInstance instance) {
        return sendCommand(instance, new SqlStatement.Status());
    }

    @Override
    public CompletableFuture<ReplicaStatus> pause(DatabaseInstance instance, long term) {
        return sendCommand(instance, new SqlStatement.PauseReplication(term));
    }

    @Override
    public CompletableFuture<ReplicaStatus> resume(DatabaseInstance instance) {
        return sendCommand(instance, new SqlStatement.ResumeReplication());
    }

    @Override
    public CompletableFuture<ReplicaStatus> demote(DatabaseInstance instance, long term) {
        return sendCommand(instance, new SqlStatement.Demote(term));
    }

    @Override
    public CompletableFuture<Optional<LogPosition>> probePrimary(DatabaseInstance instance) {
        List<SqlRequest> probe =
                List.of(SqlRequest.own(new SqlStatement.Begin(false)), SqlRequest.own(new SqlStatement.Rollback()));
        return sendBatch(instance, probe).thenApply(begun -> begun.isSuccess() ? begun.position() : Optional.empty());
    }

    @Override
    public synchronized void retainConnections(Collection<DatabaseInstance> instances) {
        List<DatabaseKey> kept = instances.stream().map(DatabaseKey::of).toList();
        connections.entrySet().removeIf(entry -> {
            boolean gone = !kept.contains(entry.getKey());
            if (gone) {
                entry.getValue().thenAccept(SqlConnection::close);
            }
            return gone;
        });
    }

    private CompletableFuture<ReplicaStatus> sendCommand(DatabaseInstance instance, SqlStatement statement) {
        return sendBatch(instance, List.of(SqlRequest.own(statement))).thenApply(result -> {
            if (result.is(SqlError.BUSY)) {
                throw new FailureException(FailureType.QUEUE_FULL, instance.instanceId());
            }
            return statusDecoder.apply(result);
        });
    }

    /** Sends, and completes with the first result once all are there. */
    private CompletableFuture<SqlResult> sendBatch(DatabaseInstance instance, List<SqlRequest> requests) {
        return openConnection(instance).thenCompose(open -> {
            List<CompletableFuture<SqlResult>> results = open.send(requests);
            return results.get(results.size() - 1)
                    .thenCompose(last -> results.get(0))
                    .orTimeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((result, error) -> {
                        if (error != null) {
                            open.close();
                        }
                    });
        });
    }

    private synchronized CompletableFuture<SqlConnection> openConnection(DatabaseInstance instance) {
        DatabaseKey key = DatabaseKey.of(instance);
        CompletableFuture<SqlConnection> present = connections.get(key);
        boolean usable = present != null
                && !present.isCompletedExceptionally()
                && (!present.isDone() || present.join().isOpen());
        if (!usable) {
            present = connector.connect(instance, CONNECT_TIMEOUT);
            connections.put(key, present);
        }
        return present;
    }

    private record DatabaseKey(String instanceId, long bornMs, String address) {
        static DatabaseKey of(DatabaseInstance instance) {
            return new DatabaseKey(
                    instance.instanceId(), instance.bornMs(), instance.address().toString());
        }
    }
}
