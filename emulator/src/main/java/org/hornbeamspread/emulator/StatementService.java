package org.hornbeamspread.emulator;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.BeginTransaction;
import org.hornbeamspread.protocol.schema.CommitTransaction;
import org.hornbeamspread.protocol.schema.Connected;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.KeyLookedUp;
import org.hornbeamspread.protocol.schema.LookUpKey;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.protocol.schema.StatementResult;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.protocol.schema.TransactionBegun;
import org.hornbeamspread.protocol.schema.TransactionEnded;
import org.hornbeamspread.transport.Envelopes;

/**
 * Connections, slots, statements and transactions of one database. A statement takes effect at the end of the time for
 * which it holds the slot, and its term is checked at that point. Therefore, of two requests with the same idempotency
 * key, the second detects the key of the first even if both were waiting at the same time. A key look-up waits for
 * in-flight requests with that key. Confined to the decision thread.
 */
final class StatementService {
    private final DatabaseSettings settings;
    private final DatabaseState state;
    private final EventLoop eventLoop;
    private final Runnable onCommit;
    private final SlotQueue slots;
    private final Multiset<String> keysInFlight = HashMultiset.create();
    private final ListMultimap<String, Runnable> pendingLookUps = ArrayListMultimap.create();
    private int connections;

    StatementService(DatabaseSettings settings, DatabaseState state, EventLoop loop, Runnable onCommit) {
        this.settings = settings;
        this.state = state;
        this.eventLoop = loop;
        this.onCommit = onCommit;
        this.slots = new SlotQueue(settings.slots());
    }

    int connections() {
        return connections;
    }

    int slotsInUse() {
        return slots.inUse();
    }

    /**
     * Opens a database connection after the connect time. Fails with DEPARTING, INVALID_REQUEST or CONNECTION_LIMIT.
     */
    void connect(ClientSession session, boolean departing, Consumer<Envelope> answer) {
        if (departing) {
            throw new FailureException(FailureType.DEPARTING, settings.databaseId());
        }
        if (session.isCounted()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "Connect was already received on this connection");
        }
        if (connections >= settings.connectionLimit()) {
            throw new FailureException(FailureType.CONNECTION_LIMIT, connections + " connections are open");
        }
        session.markCounted();
        connections++;
        eventLoop.schedule(Duration.ofMillis(settings.connectTimeMs()), () -> {
            session.markConnected();
            answer.accept(Envelope.newBuilder()
                    .setConnected(Connected.newBuilder()
                            .setDatabaseId(settings.databaseId())
                            .setIncarnation(state.metadata().incarnation())
                            .setSlots(settings.slots())
                            .setConnectionLimit(settings.connectionLimit()))
                    .build());
        });
    }

    /** Handles the close of a connection. A statement that already holds a slot runs to completion. */
    void close(ClientSession session) {
        if (session.isCounted() && !session.isClosed()) {
            connections--;
        }
        session.close();
    }

    /** Opens a transaction. */
    Envelope begin(ClientSession session, BeginTransaction request) {
        session.checkConnected();
        if (!request.getReadOnly()) {
            state.checkWritable(request.getTerm());
        }
        session.beginTransaction(new DatabaseTransaction(request.getTerm(), request.getReadOnly(), state.rows()));
        return Envelope.newBuilder()
                .setTransactionBegun(TransactionBegun.getDefaultInstance())
                .build();
    }

    /**
     * Registers an arrived request with this idempotency key; look-ups of the key wait until {@link #requestCompleted}.
     */
    void requestArrived(String idempotencyKey) {
        keysInFlight.add(idempotencyKey);
    }

    /** Unregisters an arrived request that was answered or dropped, and runs the look-ups that waited for the key. */
    void requestCompleted(String idempotencyKey) {
        keysInFlight.remove(idempotencyKey);
        if (!keysInFlight.contains(idempotencyKey)) {
            pendingLookUps.removeAll(idempotencyKey).forEach(Runnable::run);
        }
    }

    /** Executes statements in a slot, and calls {@code onComplete} after the answer. */
    void execute(ClientSession session, ExecuteStatements request, Consumer<Envelope> answer, Runnable onComplete) {
        Optional<DatabaseTransaction> openTransaction = session.transaction();
        Optional<CommitOutcome> replayed;
        Duration holdTime;
        try {
            session.checkConnected();
            replayed = findReplay(openTransaction, request);
            holdTime = slotHoldTime(request.getStatementsList());
        } catch (FailureException e) {
            answer.accept(Envelopes.failureEnvelope(e));
            onComplete.run();
            return;
        }
        if (replayed.isPresent()) {
            answer.accept(executedEnvelope(replayed.get()));
            onComplete.run();
            return;
        }
        slots.submit(() -> {
            boolean sessionClosed = session.isClosed();
            eventLoop.schedule(sessionClosed ? Duration.ZERO : holdTime, () -> {
                if (!sessionClosed) {
                    answer.accept(resultOrFailure(() -> executedEnvelope(executeStatements(openTransaction, request))));
                }
                slots.release();
                onComplete.run();
            });
        });
    }

    /** Commits the open transaction. */
    Envelope commit(ClientSession session, CommitTransaction request) {
        session.checkConnected();
        DatabaseTransaction transaction = session.takeTransaction();
        if (!request.getIdempotencyKey().isEmpty()) {
            transaction.setIdempotencyKey(request.getIdempotencyKey());
        }
        CommitOutcome outcome = state.commit(transaction, transaction.idempotencyKey());
        onCommit.run();
        TransactionEnded.Builder ended = TransactionEnded.newBuilder()
                .setPosition(Envelopes.position(outcome.position()))
                .setReplayed(outcome.replayed())
                .setTerm(state.metadata().term());
        if (outcome.replayed()) {
            ended.addAllFirstResults(outcome.results());
        }
        return Envelope.newBuilder().setTransactionEnded(ended).build();
    }

    /** Rolls back the open transaction. */
    Envelope rollback(ClientSession session) {
        session.checkConnected();
        session.takeTransaction();
        return Envelope.newBuilder()
                .setTransactionEnded(TransactionEnded.newBuilder()
                        .setPosition(Envelopes.position(state.lastPosition()))
                        .setTerm(state.metadata().term()))
                .build();
    }

    /** Looks up an idempotency key after all in-flight requests with this key complete. */
    void lookUp(LookUpKey request, Consumer<Envelope> answer) {
        if (keysInFlight.contains(request.getIdempotencyKey())) {
            pendingLookUps.put(
                    request.getIdempotencyKey(), () -> answer.accept(resultOrFailure(() -> lookUpEnvelope(request))));
        } else {
            answer.accept(lookUpEnvelope(request));
        }
    }

    /** The result of an operation, or a failure envelope if the operation fails. */
    static Envelope resultOrFailure(Supplier<Envelope> operation) {
        try {
            return operation.get();
        } catch (FailureException e) {
            return Envelopes.failureEnvelope(e);
        }
    }

    private Optional<CommitOutcome> findReplay(
            Optional<DatabaseTransaction> openTransaction, ExecuteStatements request) {
        if (request.getReadOnly() || openTransaction.isPresent()) {
            return Optional.empty();
        }
        state.checkWritable(request.getTerm());
        return state.findCommit(request.getIdempotencyKey());
    }

    /**
     * Executes a request at the end of its slot time, in the transaction that was open when the request was started.
     */
    private CommitOutcome executeStatements(Optional<DatabaseTransaction> openTransaction, ExecuteStatements request) {
        DatabaseTransaction transaction = openTransaction.orElseGet(
                () -> new DatabaseTransaction(request.getTerm(), request.getReadOnly(), state.rows()));
        if (!transaction.readOnly()) {
            state.checkWritable(transaction.term());
            Optional<CommitOutcome> previousOutcome = state.findCommit(request.getIdempotencyKey());
            if (previousOutcome.isPresent()) {
                return previousOutcome.get();
            }
        }
        if (!request.getIdempotencyKey().isEmpty()) {
            transaction.setIdempotencyKey(request.getIdempotencyKey());
        }
        List<StatementResult> results = transaction.run(request.getStatementsList());
        if (openTransaction.isPresent()) {
            return new CommitOutcome(results, state.lastPosition(), false);
        }
        CommitOutcome outcome = state.commit(transaction, request.getIdempotencyKey());
        onCommit.run();
        return outcome;
    }

    private Duration slotHoldTime(List<Statement> statements) {
        long sleepMs = statements.stream().mapToLong(StatementRunner::sleepMs).sum();
        return Duration.ofMillis(settings.statementMs() * Math.max(1, statements.size()) + sleepMs);
    }

    private Envelope executedEnvelope(CommitOutcome outcome) {
        return Envelope.newBuilder()
                .setStatementsExecuted(StatementsExecuted.newBuilder()
                        .addAllResults(outcome.results())
                        .setPosition(Envelopes.position(outcome.position()))
                        .setReplayed(outcome.replayed())
                        .setTerm(state.metadata().term()))
                .build();
    }

    private Envelope lookUpEnvelope(LookUpKey request) {
        state.checkWritable(request.getTerm());
        KeyLookedUp.Builder response =
                KeyLookedUp.newBuilder().setTerm(state.metadata().term());
        state.findCommit(request.getIdempotencyKey())
                .ifPresent(outcome -> response.setFound(true)
                        .setPosition(Envelopes.position(outcome.position()))
                        .addAllResults(outcome.results()));
        return Envelope.newBuilder().setKeyLookedUp(response).build();
    }
}
