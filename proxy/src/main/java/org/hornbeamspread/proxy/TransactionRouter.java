package org.hornbeamspread.proxy;

import com.google.protobuf.Message;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.BeginRequest;
import org.hornbeamspread.protocol.schema.BeginResponse;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.EndRequest;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.transport.Envelopes;

/**
 * Routes a transaction's requests to the proxy that has the transaction's connection: a Begin to the holder of the
 * primary, every later request to the proxy named in the transaction id. Requests are forwarded as whole RPCs, so
 * that the queue, the connection and the acknowledgement stay in one process. Confined to the dispatcher's thread.
 */
final class TransactionRouter {
    private static final String METHOD_PREFIX = "hornbeamspread.Statements/";
    private static final Duration FORWARD_TIMEOUT = Duration.ofSeconds(60);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final TransactionManager transactionManager;
    private final ProxySettings settings;
    private final long incarnation;
    private final RpcClient client = new RpcClient();

    TransactionRouter(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            TransactionManager transactionManager,
            ProxySettings settings,
            long incarnation) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.transactionManager = transactionManager;
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /** Begins a transaction on this proxy or on the holder of the primary. */
    CompletableFuture<BeginResponse> begin(BeginRequest request, Instant arrivedAt) {
        DatabaseEntry primary = transactionManager.primary(request);
        String holder = primary.getHolderProxyId();
        if (holder.equals(settings.proxyId())) {
            return transactionManager
                    .begin(request, arrivedAt)
                    .thenApply(id -> BeginResponse.newBuilder()
                            .setTransactionId(id.encode())
                            .build());
        }
        if (request.getForwarded()) {
            throw new FailureException(FailureType.WRONG_HOLDER, primary.getDatabaseId());
        }
        ProxyEntry holderEntry = publisher
                .current()
                .view()
                .proxy(holder)
                .orElseThrow(() -> new FailureException(
                        FailureType.DATABASE_UNREACHABLE, primary.getDatabaseId() + " has no holder"));
        return forward(
                holderEntry,
                "Begin",
                request.toBuilder().setForwarded(true).build(),
                BeginResponse.getDefaultInstance(),
                failure -> failure.type().effect() == Effect.NOT_RUN
                        ? new FailureException(FailureType.DATABASE_UNREACHABLE, "the holder is unreachable")
                        : new FailureException(FailureType.TRANSACTION_LOST, "no response to Begin"));
    }

    /** Runs statements inside a transaction. */
    CompletableFuture<ExecuteResponse> execute(ExecuteRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.UNKNOWN_TRANSACTION,
                "Execute",
                request,
                id -> transactionManager.execute(id, request));
    }

    /** Commits a transaction. */
    CompletableFuture<ExecuteResponse> commit(EndRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.TRANSACTION_LOST,
                "Commit",
                request,
                id -> transactionManager.commit(id, request));
    }

    /** Rolls a transaction back. */
    CompletableFuture<ExecuteResponse> rollback(EndRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.UNKNOWN_TRANSACTION,
                "Rollback",
                request,
                id -> transactionManager.rollback(id, request));
    }

    private <Q extends Message> CompletableFuture<ExecuteResponse> runAtOwner(
            String transactionId,
            FailureType typeIfOwnerLost,
            String method,
            Q request,
            Function<TransactionId, CompletableFuture<ExecuteResponse>> runLocally) {
        TransactionId id = TransactionId.parse(transactionId)
                .orElseThrow(() -> new FailureException(FailureType.UNKNOWN_TRANSACTION, "malformed transaction id"));
        if (id.proxyId().equals(settings.proxyId())) {
            if (id.incarnation() != incarnation) {
                throw new FailureException(typeIfOwnerLost, "the proxy of the transaction has restarted");
            }
            return runLocally.apply(id);
        }
        Optional<ProxyEntry> owner = publisher.current().view().proxy(id.proxyId());
        if (owner.isEmpty() || owner.get().getIncarnation() != id.incarnation()) {
            throw new FailureException(
                    typeIfOwnerLost, "the proxy of the transaction is not in the view or has restarted");
        }
        return forward(
                owner.get(),
                method,
                request,
                ExecuteResponse.getDefaultInstance(),
                failure -> new FailureException(
                        FailureType.TRANSACTION_LOST, "the proxy of the transaction is unreachable"));
    }

    private <Q extends Message, A extends Message> CompletableFuture<A> forward(
            ProxyEntry owner,
            String method,
            Q request,
            A responseType,
            Function<FailureException, FailureException> mapFailure) {
        return client.call(
                        settings.translator().translate(owner.getHttp()),
                        METHOD_PREFIX + method,
                        request,
                        responseType,
                        FORWARD_TIMEOUT)
                .handleAsync(
                        (response, error) -> {
                            if (error != null) {
                                throw mapTransportFailure(FailureException.of(error), mapFailure);
                            }
                            return response;
                        },
                        dispatcher);
    }

    private static FailureException mapTransportFailure(
            FailureException failure, Function<FailureException, FailureException> mapFailure) {
        return switch (failure.type()) {
            case CONNECTION_REFUSED, CONNECTION_LOST, REQUEST_TIMEOUT, INTERNAL -> mapFailure.apply(failure);
            default -> failure;
        };
    }

    /** A Begin response with a failure. */
    static BeginResponse failureResponse(FailureException failure) {
        return BeginResponse.newBuilder().setFailure(Envelopes.failure(failure)).build();
    }
}
