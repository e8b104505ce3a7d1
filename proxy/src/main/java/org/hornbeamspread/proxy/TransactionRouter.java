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
 * Brings a transaction's requests to the proxy that has its connection: a Begin goes to the primary's holder, everything
 * after it to the proxy that the id names. Both are passed on as whole calls, so that the queue, the connection and the
 * acknowledgement stay in one process. Owned by the dispatcher's thread.
 */
final class TransactionRouter {
    private static final String METHOD_PREFIX = "hornbeamspread.Statements/";
    private static final Duration FORWARD_TIMEOUT = Duration.ofSeconds(60);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final TransactionManager transactions;
    private final ProxySettings settings;
    private final long incarnation;
    private final RpcClient client = new RpcClient();

    TransactionRouter(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            TransactionManager transactions,
            ProxySettings settings,
            long incarnation) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.transactions = transactions;
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /** Begins a transaction here or at the primary's holder. */
    CompletableFuture<BeginResponse> begin(BeginRequest request, Instant arrivedAt) {
        DatabaseEntry primary = transactions.primary(request);
        String holder = primary.getHolderProxyId();
        if (holder.equals(settings.proxyId())) {
            return transactions
                    .begin(request, arrivedAt)
                    .thenApply(id -> BeginResponse.newBuilder()
                            .setTransactionId(id.encode())
                            .build());
        }
        if (request.getForwarded()) {
            throw new FailureException(FailureType.WRONG_HOLDER, primary.getDatabaseId());
        }
        ProxyEntry entry = publisher
                .current()
                .view()
                .proxy(holder)
                .orElseThrow(() -> new FailureException(
                        FailureType.DATABASE_UNREACHABLE, primary.getDatabaseId() + " has no holder"));
        return forward(
                entry,
                "Begin",
                request.toBuilder().setForwarded(true).build(),
                BeginResponse.getDefaultInstance(),
                failure -> failure.type().effect() == Effect.NOT_RUN
                        ? new FailureException(FailureType.DATABASE_UNREACHABLE, "the holder can't be reached")
                        : new FailureException(FailureType.TRANSACTION_LOST, "begin was not answered"));
    }

    /** Runs statements inside a transaction. */
    CompletableFuture<ExecuteResponse> execute(ExecuteRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.UNKNOWN_TRANSACTION,
                "Execute",
                request,
                id -> transactions.execute(id, request));
    }

    /** Commits a transaction. */
    CompletableFuture<ExecuteResponse> commit(EndRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.TRANSACTION_LOST,
                "Commit",
                request,
                id -> transactions.commit(id, request));
    }

    /** Drops a transaction's work. */
    CompletableFuture<ExecuteResponse> rollback(EndRequest request) {
        return runAtOwner(
                request.getTransactionId(),
                FailureType.UNKNOWN_TRANSACTION,
                "Rollback",
                request,
                id -> transactions.rollback(id, request));
    }

    private <Q extends Message> CompletableFuture<ExecuteResponse> runAtOwner(
            String text,
            FailureType ownerGone,
            String method,
            Q request,
            Function<TransactionId, CompletableFuture<ExecuteResponse>> here) {
        TransactionId id = TransactionId.parse(text)
                .orElseThrow(() -> new FailureException(FailureType.UNKNOWN_TRANSACTION, "malformed id"));
        if (id.proxyId().equals(settings.proxyId())) {
            if (id.incarnation() != incarnation) {
                throw new FailureException(ownerGone, "its proxy has restarted");
            }
            return here.apply(id);
        }
        Optional<ProxyEntry> owner = publisher.current().view().proxy(id.proxyId());
        if (owner.isEmpty() || owner.get().getIncarnation() != id.incarnation()) {
            throw new FailureException(ownerGone, "its proxy is gone");
        }
        return forward(
                owner.get(),
                method,
                request,
                ExecuteResponse.getDefaultInstance(),
                failure -> new FailureException(FailureType.TRANSACTION_LOST, "its proxy can't be reached"));
    }

    private <Q extends Message, A extends Message> CompletableFuture<A> forward(
            ProxyEntry to, String method, Q request, A answer, Function<FailureException, FailureException> typed) {
        return client.call(
                        settings.translator().translate(to.getHttp()),
                        METHOD_PREFIX + method,
                        request,
                        answer,
                        FORWARD_TIMEOUT)
                .handleAsync(
                        (response, error) -> {
                            if (error != null) {
                                throw mapTransportFailure(FailureException.of(error), typed);
                            }
                            return response;
                        },
                        dispatcher);
    }

    private static FailureException mapTransportFailure(
            FailureException failure, Function<FailureException, FailureException> typed) {
        return switch (failure.type()) {
            case CONNECTION_REFUSED, CONNECTION_LOST, REQUEST_TIMEOUT, INTERNAL -> typed.apply(failure);
            default -> failure;
        };
    }

    /** A begin's failure as an answer. */
    static BeginResponse failureResponse(FailureException failure) {
        return BeginResponse.newBuilder().setFailure(Envelopes.failure(failure)).build();
    }
}
