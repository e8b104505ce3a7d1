package org.hornbeamspread.load;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.http.RpcServer;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.Row;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementResult;
import org.hornbeamspread.transport.Envelopes;

/**
 * An HTTP endpoint that responds like a proxy, with rows in memory, and injects a fault into the first payment or the
 * session reads.
 */
final class FakeProxy implements AutoCloseable {
    private final Fault fault;
    private final RpcServer server;
    private final Map<String, Long> rows = new HashMap<>();

    /** The idempotency key of the first payment, which gets the fault; null before that payment. */
    private String faultyPaymentKey;

    FakeProxy(Fault fault) {
        this.fault = fault;
        this.server = new RpcServer(
                Endpoint.newBuilder().setHost("127.0.0.1").build(),
                List.of(new RpcMethod<>(
                        "hornbeamspread.Statements/Execute",
                        ExecuteRequest.getDefaultInstance(),
                        request -> CompletableFuture.completedFuture(execute(request)),
                        ExecuteResponse::getFailure)),
                () -> true,
                new PrometheusRegistry());
    }

    String endpoint() {
        return "127.0.0.1:" + server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized ExecuteResponse execute(ExecuteRequest request) {
        String key = request.getIdempotencyKey();
        if (faultyPaymentKey == null && request.getNonRepeatable()) {
            faultyPaymentKey = key;
        }
        if (!key.isEmpty() && key.equals(faultyPaymentKey)) {
            return executeWithFault(request);
        }
        boolean stale = fault == Fault.READS_STALE && !request.getSessionToken().isEmpty();
        return executeStatements(request, stale ? new HashMap<>() : rows);
    }

    private ExecuteResponse executeWithFault(ExecuteRequest request) {
        return switch (fault) {
            case NONE, READS_STALE -> executeStatements(request, rows);
            case DROPS_ROW -> executeStatements(request, new HashMap<>());
            case RUNS_TWICE -> {
                executeStatements(request, rows);
                yield executeStatements(request, rows);
            }
            case ADDS_BALANCE_TWICE -> {
                ExecuteResponse first = executeStatements(request, rows);
                executeStatements(request.toBuilder().removeStatements(0).build(), rows);
                yield first;
            }
            case RUNS_BUT_REFUSES -> {
                executeStatements(request, rows);
                yield refusal(FailureType.QUEUE_FULL);
            }
            case REFUSES -> refusal(FailureType.QUEUE_FULL);
            case RUNS_WITHOUT_PROOF -> {
                executeStatements(request, rows);
                yield refusal(FailureType.TIMEOUT_AFTER_SEND);
            }
        };
    }

    private static ExecuteResponse refusal(FailureType type) {
        return ExecuteResponse.newBuilder()
                .setEffect(Envelopes.effect(type.effect()))
                .setFailure(Envelopes.failure(new FailureException(type, "scripted")))
                .build();
    }

    private static ExecuteResponse executeStatements(ExecuteRequest request, Map<String, Long> rows) {
        ExecuteResponse.Builder response = ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .setSessionToken("token")
                .setProxyId("p1")
                .setFromReplica(request.getReadOnly());
        for (Statement statement : request.getStatementsList()) {
            response.addResults(executeStatement(statement, rows));
        }
        return response.build();
    }

    private static StatementResult executeStatement(Statement statement, Map<String, Long> rows) {
        if (statement.getArgumentsCount() < 2) {
            return StatementResult.getDefaultInstance();
        }
        String key = statement.getArguments(0) + "/" + statement.getArguments(1);
        if ("row.add".equals(statement.getName())) {
            rows.merge(key, Long.parseLong(statement.getArguments(2)), Long::sum);
        }
        StatementResult.Builder result = StatementResult.newBuilder();
        if (rows.containsKey(key)) {
            result.addRows(Row.newBuilder().addColumns(Long.toString(rows.get(key))));
        }
        return result.build();
    }

    /** The injected fault. */
    enum Fault {
        NONE,
        DROPS_ROW,
        RUNS_TWICE,
        ADDS_BALANCE_TWICE,
        RUNS_BUT_REFUSES,
        REFUSES,
        RUNS_WITHOUT_PROOF,
        READS_STALE
    }
}
