package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.StatementKind;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.Envelopes;

/**
 * The RPCs for callers. Requests come in on HTTP threads, are counted against the limit of requests in progress, and
 * run on the dispatcher's thread. Every failure is an answer with its type and effect.
 */
final class StatementsService {
    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final WritePath writes;
    private final ReadPath reads;
    private final RetryLoop retries;
    private final ProxyMetrics metrics;
    private final ProxySettings settings;
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile boolean closed;

    StatementsService(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            WritePath writes,
            ReadPath reads,
            RetryLoop retries,
            ProxyMetrics metrics,
            ProxySettings settings) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.writes = writes;
        this.reads = reads;
        this.retries = retries;
        this.metrics = metrics;
        this.settings = settings;
    }

    /** The methods to serve. */
    List<RpcMethod<?, ?>> methods() {
        return List.of(new RpcMethod<>(
                "hornbeamspread.Statements/Execute",
                ExecuteRequest.getDefaultInstance(),
                this::execute,
                ExecuteResponse::getFailure));
    }

    /** Requests in progress. */
    int inProgress() {
        return inProgress.get();
    }

    /** Refuses new requests with DRAINING from now on. */
    void close() {
        closed = true;
    }

    /** Runs one request; from any thread. */
    CompletableFuture<ExecuteResponse> execute(ExecuteRequest request) {
        Instant arrivedAt = dispatcher.clock().instant();
        CompletableFuture<ExecuteResponse> result = new CompletableFuture<>();
        if (inProgress.incrementAndGet() > settings.maxRequests()) {
            finish(request, arrivedAt, result, null, new FailureException(FailureType.RING_FULL, "too many requests"));
        } else if (closed) {
            finish(request, arrivedAt, result, null, new FailureException(FailureType.DRAINING, settings.proxyId()));
        } else if (!dispatcher.tryExecute(() -> run(request, arrivedAt)
                .whenComplete((answer, error) -> finish(request, arrivedAt, result, answer, error)))) {
            finish(request, arrivedAt, result, null, new FailureException(FailureType.RING_FULL, "requests"));
        }
        return result;
    }

    private CompletableFuture<ExecuteResponse> run(ExecuteRequest request, Instant arrivedAt) {
        StatementRequest checked;
        try {
            checked = StatementRequest.of(request, publisher.current().view(), arrivedAt);
        } catch (FailureException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (checked.kind() == StatementKind.READ) {
            return retries.run(checked, reads.read(checked)::attempt);
        }
        return retries.run(checked, () -> writes.attempt(checked));
    }

    private void finish(
            ExecuteRequest request,
            Instant arrivedAt,
            CompletableFuture<ExecuteResponse> result,
            ExecuteResponse answer,
            Throwable error) {
        metrics.inProgress(inProgress.decrementAndGet());
        ExecuteResponse.Builder response;
        if (error == null) {
            response = answer.toBuilder();
        } else {
            response = failure(request, FailureException.of(error));
        }
        Duration taken = Duration.between(arrivedAt, dispatcher.clock().instant());
        metrics.answered(
                request.getReadOnly() ? "read" : "write",
                knownRank(request.getRank()),
                response.getEffect().name(),
                taken.toNanos() / 1e9);
        result.complete(response.setProxyId(settings.proxyId()).build());
    }

    private ExecuteResponse.Builder failure(ExecuteRequest request, FailureException failure) {
        metrics.refused(failure.type(), knownRank(request.getRank()));
        return ExecuteResponse.newBuilder()
                .setEffect(Envelopes.effect(failure.type().effect()))
                .setFailure(Envelopes.failure(failure))
                .setSessionToken(request.getSessionToken());
    }

    /** Callers must not make new time series. */
    private String knownRank(String rank) {
        return publisher.current().view().rank(rank).isPresent() ? rank : "unknown";
    }
}
