package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/**
 * A database that this proxy holds, with its slots, queue and connections. A statement takes a slot first and a
 * connection second, so that the number of running statements never exceeds the number of slots, whichever proxy the
 * statements came from. Confined to the dispatcher's thread.
 */
final class HeldDatabase {
    private final Dispatcher dispatcher;
    private final DatabaseEntry entry;
    private final ConnectionPool pool;
    private final SlotQueue queue;

    /**
     * Whether the database is departing and not a primary: idle connections are closed and none is opened in advance.
     */
    private boolean draining;

    HeldDatabase(
            Dispatcher dispatcher,
            PeerTransport transport,
            DatabaseEntry entry,
            SlotScheduler scheduler,
            QueueLimits limits,
            String proxyId) {
        this.dispatcher = dispatcher;
        this.entry = entry;
        this.pool = new ConnectionPool(
                dispatcher, transport, entry.getEndpoint(), proxyId, Math.max(1, entry.getConnectionLimit()));
        this.queue = new SlotQueue(dispatcher, scheduler, limits);
        pool.warmUp(entry.getSlots());
    }

    long holderEpoch() {
        return entry.getHolderEpoch();
    }

    /** Whether an entry has the same endpoint, slots and connection limit. */
    boolean hasSameEndpointAndLimits(DatabaseEntry other) {
        return other.getEndpoint().equals(entry.getEndpoint())
                && other.getSlots() == entry.getSlots()
                && other.getConnectionLimit() == entry.getConnectionLimit();
    }

    SlotQueue queue() {
        return queue;
    }

    ConnectionPool pool() {
        return pool;
    }

    /** Runs statements as a separate transaction. */
    CompletableFuture<StatementsExecuted> execute(RequestContext context, ExecuteStatements statements) {
        Envelope request =
                Envelope.newBuilder().setExecuteStatements(statements).build();
        return queue.run(context, () -> withConnection(context, connection -> send(connection, request, context)))
                .thenApply(Envelope::getStatementsExecuted);
    }

    /**
     * Sends a request on a connection that was acquired from the pool, and converts a transport failure after the
     * send to the failure type with the right effect. Fails with DEADLINE_BEFORE_START, not sent, if no time is left.
     */
    CompletableFuture<Envelope> send(PeerConnection connection, Envelope request, RequestContext context) {
        Duration remaining = Duration.between(dispatcher.clock().instant(), context.deadline());
        if (remaining.isNegative() || remaining.isZero()) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.DEADLINE_BEFORE_START, entry.getDatabaseId()));
        }
        return connection.request(request, remaining).handle((response, error) -> {
            if (error != null) {
                throw new CompletionException(toFailureAfterSend(FailureException.of(error)));
            }
            return response;
        });
    }

    /** Rejects waiting statements. Running statements finish normally. */
    void close() {
        queue.close();
        pool.close();
    }

    /** Sets whether the database is departing and not a primary. */
    void setDraining(boolean drain) {
        draining = drain;
    }

    /**
     * Rejects statements that can't start in time any more, and replaces broken connections or, while draining,
     * closes idle ones. Called periodically.
     */
    void runMaintenance() {
        queue.expire();
        if (draining) {
            pool.closeIdle();
        } else {
            pool.warmUp(entry.getSlots());
        }
    }

    /** Whether a late response may still arrive on the connection, so that the connection must not be reused. */
    static boolean mayReceiveLateResponse(FailureException failure) {
        return failure.type() == FailureType.TIMEOUT_AFTER_SEND
                || failure.type() == FailureType.CONNECTION_LOST_AFTER_SEND
                || failure.type() == FailureType.INTERNAL;
    }

    private CompletableFuture<Envelope> withConnection(
            RequestContext context, Function<PeerConnection, CompletableFuture<Envelope>> use) {
        CompletableFuture<Envelope> result = new CompletableFuture<>();
        Instant now = dispatcher.clock().instant();
        Dispatcher.Timer timer = dispatcher.schedule(
                Duration.between(now, context.deadline()),
                () -> result.completeExceptionally(
                        new FailureException(FailureType.DEADLINE_BEFORE_START, entry.getDatabaseId())));
        pool.acquire().whenComplete((connection, error) -> {
            timer.cancel();
            if (error != null) {
                result.completeExceptionally(FailureException.of(error));
            } else if (result.isDone()) {
                pool.release(connection);
            } else {
                use.apply(connection)
                        .whenCompleteAsync(
                                (response, failure) -> finishAndReturnConnection(connection, result, response, failure),
                                dispatcher);
            }
        });
        return result;
    }

    private void finishAndReturnConnection(
            PeerConnection connection, CompletableFuture<Envelope> result, Envelope response, Throwable error) {
        if (error == null) {
            pool.release(connection);
            result.complete(response);
            return;
        }
        FailureException failure = FailureException.of(error);
        if (mayReceiveLateResponse(failure)) {
            pool.discard(connection);
        } else {
            pool.release(connection);
        }
        result.completeExceptionally(failure);
    }

    private FailureException toFailureAfterSend(FailureException failure) {
        return switch (failure.type()) {
            case REQUEST_TIMEOUT -> new FailureException(FailureType.TIMEOUT_AFTER_SEND, entry.getDatabaseId());
            case CONNECTION_LOST -> new FailureException(FailureType.CONNECTION_LOST_AFTER_SEND, entry.getDatabaseId());
            case CONNECTION_REFUSED -> new FailureException(FailureType.DATABASE_UNREACHABLE, entry.getDatabaseId());
            default -> failure;
        };
    }
}
