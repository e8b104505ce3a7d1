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
 * A database that this proxy holds: its slots, its queue and its connections. Work takes a slot first and a connection
 * then, so that no more statements run than the database has slots, whichever proxy they came from. Owned by the
 * dispatcher's thread.
 */
final class HeldDatabase {
    private final Dispatcher dispatcher;
    private final DatabaseEntry entry;
    private final ConnectionPool pool;
    private final SlotQueue queue;

    /** The database is departing and not a primary: what is idle is closed and nothing is opened ahead. */
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

    /** Whether an entry names the same endpoint and limits. */
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

    /** Runs statements as a transaction of their own. */
    CompletableFuture<StatementsExecuted> execute(WorkOrder order, ExecuteStatements statements) {
        Envelope request =
                Envelope.newBuilder().setExecuteStatements(statements).build();
        return queue.run(order, () -> withConnection(order, connection -> send(connection, request, order)))
                .thenApply(Envelope::getStatementsExecuted);
    }

    /** Sends a request on a connection that the caller owns, and types what went wrong after it was sent. */
    CompletableFuture<Envelope> send(PeerConnection connection, Envelope request, WorkOrder order) {
        Duration remaining = Duration.between(dispatcher.clock().instant(), order.deadline());
        if (remaining.isNegative() || remaining.isZero()) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.DEADLINE_BEFORE_START, entry.getDatabaseId()));
        }
        return connection.request(request, remaining).handle((answer, error) -> {
            if (error != null) {
                throw new CompletionException(toAfterSendFailure(FailureException.of(error)));
            }
            return answer;
        });
    }

    /** Refuses what waits; what runs ends by itself. */
    void close() {
        queue.close();
        pool.close();
    }

    /** Sets whether the database is departing and not a primary any more. */
    void setDraining(boolean on) {
        draining = on;
    }

    /** Refuses what can't start any more, and replaces broken connections. Called every now and then. */
    void runMaintenance() {
        queue.expire();
        if (draining) {
            pool.closeIdle();
        } else {
            pool.warmUp(entry.getSlots());
        }
    }

    /** Whether an answer on the connection may still come, so that it can't be used for anything else. */
    static boolean mayReceiveLateResponse(FailureException failure) {
        return failure.type() == FailureType.TIMEOUT_AFTER_SEND
                || failure.type() == FailureType.CONNECTION_LOST_AFTER_SEND
                || failure.type() == FailureType.INTERNAL;
    }

    private CompletableFuture<Envelope> withConnection(
            WorkOrder order, Function<PeerConnection, CompletableFuture<Envelope>> use) {
        CompletableFuture<Envelope> result = new CompletableFuture<>();
        Instant now = dispatcher.clock().instant();
        Dispatcher.Timer timer = dispatcher.schedule(
                Duration.between(now, order.deadline()),
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
                                (answer, failure) -> finishAndReturnConnection(connection, result, answer, failure),
                                dispatcher);
            }
        });
        return result;
    }

    private void finishAndReturnConnection(
            PeerConnection connection, CompletableFuture<Envelope> result, Envelope answer, Throwable error) {
        if (error == null) {
            pool.release(connection);
            result.complete(answer);
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

    private FailureException toAfterSendFailure(FailureException failure) {
        return switch (failure.type()) {
            case REQUEST_TIMEOUT -> new FailureException(FailureType.TIMEOUT_AFTER_SEND, entry.getDatabaseId());
            case CONNECTION_LOST -> new FailureException(FailureType.CONNECTION_LOST_AFTER_SEND, entry.getDatabaseId());
            case CONNECTION_REFUSED -> new FailureException(FailureType.DATABASE_UNREACHABLE, entry.getDatabaseId());
            default -> failure;
        };
    }
}
