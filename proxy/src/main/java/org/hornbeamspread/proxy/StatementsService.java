package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.StatementKind;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.protocol.schema.BeginRequest;
import org.hornbeamspread.protocol.schema.BeginResponse;
import org.hornbeamspread.protocol.schema.EndRequest;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.Envelopes;

/**
 * The RPCs for callers. Requests arrive on HTTP threads, count towards the limit of requests in progress, and run on the
 * dispatcher's thread. Every failure is returned as a response with the failure's type and effect.
 */
final class StatementsService {
    private static final String SERVICE = "hornbeamspread.Statements/";
    private static final String UNKNOWN_RANK_LABEL = "unknown";

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final WritePath writePath;
    private final ReadPath readPath;
    private final TransactionRouter transactionRouter;
    private final RetryLoop retryLoop;
    private final ProxyMetrics metrics;
    private final ProxySettings settings;
    private final AtomicInteger inProgress = new AtomicInteger();
    private volatile boolean closed;

    StatementsService(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            WritePath writePath,
            ReadPath readPath,
            TransactionRouter transactionRouter,
            RetryLoop retryLoop,
            ProxyMetrics metrics,
            ProxySettings settings) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.writePath = writePath;
        this.readPath = readPath;
        this.transactionRouter = transactionRouter;
        this.retryLoop = retryLoop;
        this.metrics = metrics;
        this.settings = settings;
    }

    /** The RPC methods of this service. */
    List<RpcMethod<?, ?>> methods() {
        EndRequest end = EndRequest.getDefaultInstance();
        return List.of(
                new RpcMethod<>(
                        SERVICE + "Execute",
                        ExecuteRequest.getDefaultInstance(),
                        this::execute,
                        ExecuteResponse::getFailure),
                new RpcMethod<>(
                        SERVICE + "Begin", BeginRequest.getDefaultInstance(), this::begin, BeginResponse::getFailure),
                new RpcMethod<>(SERVICE + "Commit", end, this::commit, ExecuteResponse::getFailure),
                new RpcMethod<>(SERVICE + "Rollback", end, this::rollback, ExecuteResponse::getFailure));
    }

    /** The number of requests in progress. */
    int inProgress() {
        return inProgress.get();
    }

    /** Refuses new requests with DRAINING from now on. */
    void close() {
        closed = true;
    }

    /** Executes statements. Safe for any thread. */
    CompletableFuture<ExecuteResponse> execute(ExecuteRequest request) {
        Instant arrivedAt = dispatcher.clock().instant();
        String rank = rankLabel(request.getRank());
        String kind = request.getReadOnly() ? "read" : "write";
        return admit(() -> run(request, arrivedAt), request.getTransactionId().isEmpty())
                .handle((value, error) -> {
                    ExecuteResponse response = error == null
                            ? value
                            : failure(request.getSessionToken(), rank, FailureException.of(error));
                    Duration elapsed =
                            Duration.between(arrivedAt, dispatcher.clock().instant());
                    metrics.countResponse(kind, rank, response.getEffect().name(), elapsed);
                    return withProxyId(response);
                });
    }

    /** Begins a transaction. Safe for any thread. */
    CompletableFuture<BeginResponse> begin(BeginRequest request) {
        Instant arrivedAt = dispatcher.clock().instant();
        return admit(() -> transactionRouter.begin(request, arrivedAt), true).handle((value, error) -> {
            if (error == null) {
                return value;
            }
            FailureException failure = FailureException.of(error);
            metrics.countRefusal(failure.type(), rankLabel(request.getRank()));
            return TransactionRouter.failureResponse(failure);
        });
    }

    private CompletableFuture<ExecuteResponse> commit(EndRequest request) {
        return end(request, transactionRouter::commit);
    }

    private CompletableFuture<ExecuteResponse> rollback(EndRequest request) {
        return end(request, transactionRouter::rollback);
    }

    private CompletableFuture<ExecuteResponse> end(
            EndRequest request, Function<EndRequest, CompletableFuture<ExecuteResponse>> method) {
        return admit(() -> method.apply(request), false)
                .handle((value, error) -> withProxyId(
                        error == null
                                ? value
                                : failure(request.getSessionToken(), UNKNOWN_RANK_LABEL, FailureException.of(error))));
    }

    private CompletableFuture<ExecuteResponse> run(ExecuteRequest request, Instant arrivedAt) {
        if (!request.getTransactionId().isEmpty()) {
            return transactionRouter.execute(request);
        }
        StatementRequest validated =
                StatementRequest.of(request, publisher.current().view(), arrivedAt);
        if (validated.kind() == StatementKind.READ) {
            return retryLoop.run(validated, readPath.read(validated)::attempt);
        }
        return retryLoop.run(validated, () -> writePath.attempt(validated));
    }

    /**
     * Admits a request and runs it on the dispatcher's thread. After {@link #close}, requests that start new work are
     * refused, while open transactions may still end.
     */
    private <T> CompletableFuture<T> admit(Supplier<CompletableFuture<T>> work, boolean startsNewWork) {
        CompletableFuture<T> result = new CompletableFuture<>();
        metrics.setRequestsInProgress(inProgress.incrementAndGet());
        if (closed && startsNewWork) {
            result.completeExceptionally(new FailureException(FailureType.DRAINING, settings.proxyId()));
        } else if (inProgress.get() > settings.maxRequests()) {
            result.completeExceptionally(new FailureException(FailureType.RING_FULL, "too many requests in progress"));
        } else if (!dispatcher.tryExecute(
                () -> Futures.start(work).whenComplete((value, error) -> Futures.complete(result, value, error)))) {
            result.completeExceptionally(new FailureException(FailureType.RING_FULL, "requests"));
        }
        return result.whenComplete((value, error) -> metrics.setRequestsInProgress(inProgress.decrementAndGet()));
    }

    private ExecuteResponse failure(String token, String rank, FailureException failure) {
        metrics.countRefusal(failure.type(), rank);
        return ExecuteResponse.newBuilder()
                .setEffect(Envelopes.effect(failure.type().effect()))
                .setFailure(Envelopes.failure(failure))
                .setSessionToken(token)
                .build();
    }

    /** Adds this proxy's id to a response; a relayed response keeps the id of the proxy that created it. */
    private ExecuteResponse withProxyId(ExecuteResponse response) {
        return response.getProxyId().isEmpty()
                ? response.toBuilder().setProxyId(settings.proxyId()).build()
                : response;
    }

    /** The metric label of a rank. Unknown ranks share one label, so that callers can't create new time series. */
    private String rankLabel(String rank) {
        return publisher.current().view().rank(rank).isPresent() ? rank : UNKNOWN_RANK_LABEL;
    }
}
