package org.hornbeamspread.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.Envelopes;
import org.junit.jupiter.api.Test;

/** Responses, failures inside a response and failures of a call reach the client over HTTP with their types. */
final class RpcServerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String EXECUTE = "hornbeamspread.Statements/Execute";

    @Test
    void responsesAndTypedFailuresReachTheClient() {
        RpcMethod<ExecuteRequest, ExecuteResponse> method = new RpcMethod<>(
                EXECUTE, ExecuteRequest.getDefaultInstance(), RpcServerTest::execute, ExecuteResponse::getFailure);
        Endpoint loopback = Endpoint.newBuilder().setHost("127.0.0.1").build();
        try (RpcServer server = new RpcServer(loopback, List.of(method), () -> true, new PrometheusRegistry())) {
            Endpoint target = loopback.toBuilder().setPort(server.port()).build();
            assertThat(call(target, EXECUTE, "done").join().getProxyId()).isEqualTo("done");
            assertThat(call(target, EXECUTE, "own").join().getFailure().getType())
                    .isEqualTo("NO_PRIMARY");
            assertThat(failure(call(target, EXECUTE, "thrown"))).isEqualTo(FailureType.QUEUE_FULL);
            assertThat(failure(call(target, "hornbeamspread.Statements/Nothing", "")))
                    .isEqualTo(FailureType.UNKNOWN_METHOD);
        }
    }

    private static CompletableFuture<ExecuteResponse> execute(ExecuteRequest request) {
        ExecuteResponse.Builder response = ExecuteResponse.newBuilder().setProxyId(request.getService());
        return switch (request.getService()) {
            case "thrown" -> CompletableFuture.failedFuture(new FailureException(FailureType.QUEUE_FULL, "urgent"));
            case "own" ->
                CompletableFuture.completedFuture(
                        response.setFailure(Envelopes.failure(new FailureException(FailureType.NO_PRIMARY, "group")))
                                .build());
            default -> CompletableFuture.completedFuture(response.build());
        };
    }

    private static CompletableFuture<ExecuteResponse> call(Endpoint target, String method, String service) {
        ExecuteRequest request = ExecuteRequest.newBuilder().setService(service).build();
        return new RpcClient().call(target, method, request, ExecuteResponse.getDefaultInstance(), TIMEOUT);
    }

    private static FailureType failure(CompletableFuture<ExecuteResponse> call) {
        return FailureException.of(assertThrows(CompletionException.class, call::join))
                .type();
    }
}
