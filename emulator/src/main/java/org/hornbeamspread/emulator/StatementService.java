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
 * Connections, slots, statements and transactions of one database. A statement takes effect at the end of its time in
 * the slot, and the term is checked then. So of two requests with one idempotency key the second one finds the key of
 * the first, also when both waited together; and a key look-up waits for requests with that key. Decision thread only.
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

    /** Opens a database connection after the connect time. Refused with CONNECTION_LIMIT. */
    void connect(ClientSession session, boolean departing, Consumer<Envelope> answer) {
        if (departing) {
            throw new FailureException(FailureType.DEPARTING, settings.databaseId());
        }
        if (session.isCounted()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "connected already");
        }
        if (connections >= settings.connectionLimit()) {
            throw new FailureException(FailureType.CONNECTION_LIMIT, connections + " open");
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

    /** The connection is gone. What runs in a slot runs to its end. */
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

    /** A request with this idempotency key has arrived; look-ups of the key wait until {@link #requestCompleted}. */
    void requestArrived(String idempotencyKey) {
        keysInFlight.add(idempotencyKey);
    }

    /** A request that had arrived is answered or dropped. */
    void requestCompleted(String idempotencyKey) {
        keysInFlight.remove(idempotencyKey);
        if (!keysInFlight.contains(idempotencyKey)) {
            pendingLookUps.removeAll(idempotencyKey).forEach(Runnable::run);
        }
    }

    /** Runs statements in a slot, and calls {@code done} after the answer. */
    void execute(ClientSession session, ExecuteStatements request, Consumer<Envelope> answer, Runnable done) {
        Optional<DatabaseTransaction> open = session.transaction();
        Optional<CommitOutcome> replayed;
        Duration hold;
        try {
            session.checkConnected();
            replayed = findReplay(open, request);
            hold = slotHoldTime(request.getStatementsList());
        } catch (FailureException e) {
            answer.accept(Envelopes.failureEnvelope(e));
            done.run();
            return;
        }
        if (replayed.isPresent()) {
            answer.accept(executedEnvelope(replayed.get()));
            done.run();
            return;
        }
        slots.submit(() -> {
            boolean dropped = session.isClosed();
            eventLoop.schedule(dropped ? Duration.ZERO : hold, () -> {
                if (!dropped) {
                    answer.accept(resultOrFailure(() -> executedEnvelope(executeStatements(open, request))));
                }
                slots.release();
                done.run();
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

    /** Drops the open transaction. */
    Envelope rollback(ClientSession session) {
        session.checkConnected();
        session.takeTransaction();
        return Envelope.newBuilder()
                .setTransactionEnded(TransactionEnded.newBuilder()
                        .setPosition(Envelopes.position(state.lastPosition()))
                        .setTerm(state.metadata().term()))
                .build();
    }

    /** Looks a key up, after every request in flight with this key. */
    void lookUp(LookUpKey request, Consumer<Envelope> answer) {
        if (keysInFlight.contains(request.getIdempotencyKey())) {
            pendingLookUps.put(
                    request.getIdempotencyKey(), () -> answer.accept(resultOrFailure(() -> lookUpEnvelope(request))));
        } else {
            answer.accept(lookUpEnvelope(request));
        }
    }

    /** A request's answer, or its typed failure. */
    static Envelope resultOrFailure(Supplier<Envelope> work) {
        try {
            return work.get();
        } catch (FailureException e) {
            return Envelopes.failureEnvelope(e);
        }
    }

    private Optional<CommitOutcome> findReplay(Optional<DatabaseTransaction> open, ExecuteStatements request) {
        if (request.getReadOnly() || open.isPresent()) {
            return Optional.empty();
        }
        state.checkWritable(request.getTerm());
        return state.findCommit(request.getIdempotencyKey());
    }

    /** Runs a request at the end of its time in the slot, in the transaction that was open when it came. */
    private CommitOutcome executeStatements(Optional<DatabaseTransaction> open, ExecuteStatements request) {
        DatabaseTransaction transaction =
                open.orElseGet(() -> new DatabaseTransaction(request.getTerm(), request.getReadOnly(), state.rows()));
        if (!transaction.readOnly()) {
            state.checkWritable(transaction.term());
            Optional<CommitOutcome> earlier = state.findCommit(request.getIdempotencyKey());
            if (earlier.isPresent()) {
                return earlier.get();
            }
        }
        if (!request.getIdempotencyKey().isEmpty()) {
            transaction.setIdempotencyKey(request.getIdempotencyKey());
        }
        List<StatementResult> results = transaction.run(request.getStatementsList());
        if (open.isPresent()) {
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
        KeyLookedUp.Builder found =
                KeyLookedUp.newBuilder().setTerm(state.metadata().term());
        state.findCommit(request.getIdempotencyKey())
                .ifPresent(outcome -> found.setFound(true)
                        .setPosition(Envelopes.position(outcome.position()))
                        .addAllResults(outcome.results()));
        return Envelope.newBuilder().setKeyLookedUp(found).build();
    }
}
