package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RelayExecute;
import org.hornbeamspread.protocol.schema.RelayExecuted;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Relays statements to the proxies that hold the databases. All statements for one proxy share one connection, and
 * responses are matched to requests by request id. Confined to the dispatcher's thread.
 */
final class RelayClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /**
     * The holder's deadline is earlier by this margin, so that its refusal arrives in time. The refusal proves that the
     * statement did not run.
     */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(10);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final PeerHandler handler;
    private final ProxyMetrics metrics;
    private final Map<Endpoint, CompletableFuture<PeerConnection>> connections = new HashMap<>();

    RelayClient(Dispatcher dispatcher, PeerTransport transport, PeerHandler handler, ProxyMetrics metrics) {
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.handler = handler;
        this.metrics = metrics;
    }

    /** Executes statements through the holder of a database. Completes on the dispatcher's thread. */
    CompletableFuture<StatementsExecuted> execute(
            Optional<ProxyEntry> holder,
            boolean otherRegion,
            DatabaseEntry database,
            RequestContext context,
            ExecuteStatements statements) {
        if (holder.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.DATABASE_UNREACHABLE, "the holder is not in the view"));
        }
        return connection(holder.get().getPeer())
                .thenCompose(peer -> send(peer, otherRegion, database, context, statements))
                .thenApply(RelayClient::executed);
    }

    private CompletableFuture<Envelope> send(
            PeerConnection peer,
            boolean otherRegion,
            DatabaseEntry database,
            RequestContext context,
            ExecuteStatements statements) {
        Instant now = dispatcher.clock().instant();
        Duration remaining = Duration.between(now, context.deadline());
        if (remaining.compareTo(RESPONSE_MARGIN) <= 0) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.DEADLINE_BEFORE_START, database.getDatabaseId()));
        }
        Envelope request = Envelope.newBuilder()
                .setRelayExecute(RelayExecute.newBuilder()
                        .setDatabaseId(database.getDatabaseId())
                        .setHolderEpoch(database.getHolderEpoch())
                        .setRank(context.rank())
                        .setCallerId(context.callerId())
                        .setTimeoutMs((int) remaining.minus(RESPONSE_MARGIN).toMillis())
                        .setExecute(statements))
                .build();
        metrics.countStatementBytes(otherRegion, request.getSerializedSize());
        CompletableFuture<Envelope> result = new CompletableFuture<>();
        peer.request(request, remaining)
                .whenCompleteAsync(
                        (response, error) -> {
                            if (error != null) {
                                result.completeExceptionally(toFailureAfterSend(FailureException.of(error)));
                            } else {
                                metrics.countStatementBytes(otherRegion, response.getSerializedSize());
                                result.complete(response);
                            }
                        },
                        dispatcher);
        return result;
    }

    private CompletableFuture<PeerConnection> connection(Endpoint endpoint) {
        CompletableFuture<PeerConnection> existing = connections.get(endpoint);
        if (existing != null && isUsable(existing)) {
            return existing;
        }
        CompletableFuture<PeerConnection> connecting = new CompletableFuture<>();
        connections.put(endpoint, connecting);
        Futures.start(() -> transport.connect(endpoint, CONNECT_TIMEOUT, handler))
                .whenCompleteAsync(
                        (connection, error) -> {
                            if (error != null) {
                                connections.remove(endpoint, connecting);
                                connecting.completeExceptionally(new FailureException(
                                        FailureType.DATABASE_UNREACHABLE, "can't connect to the holder"));
                            } else {
                                connecting.complete(connection);
                            }
                        },
                        dispatcher);
        return connecting;
    }

    private static boolean isUsable(CompletableFuture<PeerConnection> connection) {
        return !connection.isDone()
                || (!connection.isCompletedExceptionally() && connection.join().isOpen());
    }

    private static StatementsExecuted executed(Envelope response) {
        RelayExecuted relayed = response.getRelayExecuted();
        if (relayed.hasFailure()) {
            throw new CompletionException(Envelopes.exception(relayed.getFailure()));
        }
        return relayed.getExecuted();
    }

    private static FailureException toFailureAfterSend(FailureException failure) {
        return switch (failure.type()) {
            case REQUEST_TIMEOUT -> new FailureException(FailureType.TIMEOUT_AFTER_SEND, "relayed");
            case CONNECTION_LOST -> new FailureException(FailureType.CONNECTION_LOST_AFTER_SEND, "relayed");
            case CONNECTION_REFUSED ->
                new FailureException(FailureType.DATABASE_UNREACHABLE, "the connection to the holder is closed");
            default -> failure;
        };
    }

    /** Refuses every request: other proxies send requests to the peer endpoint, not over these connections. */
    static PeerHandler refuseRequests() {
        return new PeerHandler() {
            @Override
            public void onRequest(PeerConnection peer, Envelope request, Consumer<Envelope> answer) {
                answer.accept(Envelopes.failureEnvelope(new FailureException(
                        FailureType.UNKNOWN_METHOD, request.getBodyCase().name())));
            }
        };
    }
}
