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

/** An HTTP endpoint that answers like a proxy over rows in memory, and misbehaves with the first payment as told. */
final class FakeProxy implements AutoCloseable {
    private final Misbehaviour misbehaviour;
    private final RpcServer server;
    private final Map<String, Long> rows = new HashMap<>();

    /** The payment that was misbehaved with; null before it came. */
    private String victim;

    FakeProxy(Misbehaviour misbehaviour) {
        this.misbehaviour = misbehaviour;
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
        if (victim == null && request.getNonRepeatable()) {
            victim = key;
        }
        if (!key.isEmpty() && key.equals(victim)) {
            return misbehave(request);
        }
        boolean stale = misbehaviour == Misbehaviour.READS_STALE
                && !request.getSessionToken().isEmpty();
        return done(request, stale ? new HashMap<>() : rows);
    }

    private ExecuteResponse misbehave(ExecuteRequest request) {
        return switch (misbehaviour) {
            case NONE, READS_STALE -> done(request, rows);
            case DROPS_ROW -> done(request, new HashMap<>());
            case RUNS_TWICE -> {
                done(request, rows);
                yield done(request, rows);
            }
            case ADDS_BALANCE_TWICE -> {
                ExecuteResponse first = done(request, rows);
                done(request.toBuilder().removeStatements(0).build(), rows);
                yield first;
            }
            case RUNS_BUT_REFUSES -> {
                done(request, rows);
                yield refusal(FailureType.QUEUE_FULL);
            }
            case REFUSES -> refusal(FailureType.QUEUE_FULL);
            case RUNS_WITHOUT_PROOF -> {
                done(request, rows);
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

    private static ExecuteResponse done(ExecuteRequest request, Map<String, Long> rows) {
        ExecuteResponse.Builder response = ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .setSessionToken("token")
                .setProxyId("p1")
                .setFromReplica(request.getReadOnly());
        for (Statement statement : request.getStatementsList()) {
            response.addResults(run(statement, rows));
        }
        return response.build();
    }

    private static StatementResult run(Statement statement, Map<String, Long> rows) {
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

    /** What the endpoint does wrong. */
    enum Misbehaviour {
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
