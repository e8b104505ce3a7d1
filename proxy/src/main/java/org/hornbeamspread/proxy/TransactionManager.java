package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.routing.GroupRouting;
import org.hornbeamspread.core.session.SessionToken;
import org.hornbeamspread.protocol.schema.BeginRequest;
import org.hornbeamspread.protocol.schema.BeginTransaction;
import org.hornbeamspread.protocol.schema.CommitTransaction;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.EndRequest;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.RollbackTransaction;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.protocol.schema.TransactionEnded;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;

/**
 * Manages the interactive transactions on this proxy's connections.
 *
 * <p>A transaction runs on the primary, on one connection that is pinned to the transaction from begin to end; no
 * other work uses the connection meanwhile. The connection returns to the pool only after a commit or rollback with a
 * complete response. A transaction is closed together with its connection if it is idle for too long, if a response
 * is missing, or if the outcome of its end is unknown; the database then rolls back uncommitted work. Confined to the
 * dispatcher's thread.
 */
final class TransactionManager {
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(50);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final HeldDatabases heldDatabases;
    private final WritePath writePath;
    private final String proxyId;
    private final long incarnation;
    private final Duration idleTimeout;
    private final Map<TransactionId, OpenTransaction> openTransactions = new HashMap<>();

    TransactionManager(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            HeldDatabases heldDatabases,
            WritePath writePath,
            ProxySettings settings,
            long incarnation) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.heldDatabases = heldDatabases;
        this.writePath = writePath;
        this.proxyId = settings.proxyId();
        this.incarnation = incarnation;
        this.idleTimeout = Duration.ofMillis(settings.idleTransactionMs());
    }

    void start() {
        dispatcher.schedule(IDLE_CHECK_INTERVAL, this::closeIdleTransactions);
    }

    /** The number of open transactions. */
    int openTransactionCount() {
        return openTransactions.size();
    }

    /** The primary that a transaction would run on. Fails with the same types as a write before it is sent. */
    DatabaseEntry primary(BeginRequest request) {
        LeasedView leased = publisher.current();
        return writePath.primary(leased.view(), writableGroup(leased, request));
    }

    /**
     * Begins a transaction on a primary that this proxy holds. Fails with CONNECTION_LIMIT if open transactions
     * already use every connection that the slots don't need; one open transaction is always allowed.
     */
    CompletableFuture<TransactionId> begin(BeginRequest request, Instant arrivedAt) {
        LeasedView leased = publisher.current();
        ServiceDefinition service = StatementRequest.service(leased.view(), request.getService());
        StatementRequest.checkRank(leased.view(), request.getRank());
        GroupView group = writableGroup(leased, request);
        DatabaseEntry primary = writePath.primary(leased.view(), group);
        HeldDatabase database = heldDatabases
                .findUsable(primary.getDatabaseId(), primary.getHolderEpoch(), false)
                .orElseThrow(() -> new FailureException(FailureType.WRONG_HOLDER, primary.getDatabaseId()));
        if (openTransactionsOn(database) >= Math.max(1, primary.getConnectionLimit() - primary.getSlots())) {
            throw new FailureException(FailureType.CONNECTION_LIMIT, "too many open transactions");
        }
        int timeoutMs = StatementRequest.timeoutMs(request.getTimeoutMs(), service);
        RequestContext context =
                new RequestContext(request.getRank(), request.getCallerId(), arrivedAt.plusMillis(timeoutMs));
        return database.pool()
                .acquire()
                .thenCompose(connection -> beginOn(connection, request, group, database, context, timeoutMs));
    }

    /** Runs statements inside a transaction. */
    CompletableFuture<ExecuteResponse> execute(TransactionId id, ExecuteRequest request) {
        OpenTransaction transaction = findIdle(id, FailureType.UNKNOWN_TRANSACTION);
        SessionToken token = SessionToken.decode(request.getSessionToken());
        RequestContext context = transaction.beginRequest(dispatcher.clock().instant(), request.getTimeoutMs());
        Envelope statements = Envelope.newBuilder()
                .setExecuteStatements(ExecuteStatements.newBuilder()
                        .setTerm(
                                transaction.readOnly() ? 0 : transaction.group().getTerm())
                        .setReadOnly(transaction.readOnly())
                        .addAllStatements(request.getStatementsList()))
                .build();
        HeldDatabase database = transaction.database();
        return database.queue()
                .run(context, () -> database.send(transaction.connection(), statements, context))
                .handle((response, error) -> {
                    transaction.endRequest(dispatcher.clock().instant());
                    if (error != null) {
                        throw toStatementFailure(transaction, FailureException.of(error));
                    }
                    return executeResponse(transaction, response.getStatementsExecuted(), token);
                });
    }

    /** Commits a transaction; completes when the commit may be acknowledged. */
    CompletableFuture<ExecuteResponse> commit(TransactionId id, EndRequest request) {
        OpenTransaction transaction = findIdle(id, FailureType.TRANSACTION_LOST);
        SessionToken token = SessionToken.decode(request.getSessionToken());
        if (!transaction.readOnly()) {
            writePath.writableGroup(publisher.current(), transaction.group().getGroup());
        }
        RequestContext context = transaction.beginRequest(dispatcher.clock().instant(), 0);
        Envelope commit = Envelope.newBuilder()
                .setCommitTransaction(CommitTransaction.newBuilder().setIdempotencyKey(request.getIdempotencyKey()))
                .build();
        return endTransaction(transaction, commit, context)
                .thenCompose(ended -> acknowledge(transaction, ended, context, token));
    }

    /** Rolls a transaction back. */
    CompletableFuture<ExecuteResponse> rollback(TransactionId id, EndRequest request) {
        OpenTransaction transaction = findIdle(id, FailureType.UNKNOWN_TRANSACTION);
        RequestContext context = transaction.beginRequest(dispatcher.clock().instant(), 0);
        Envelope rollback = Envelope.newBuilder()
                .setRollbackTransaction(RollbackTransaction.getDefaultInstance())
                .build();
        return endTransaction(transaction, rollback, context)
                .handle((ended, error) -> ExecuteResponse.newBuilder()
                        .setEffect(Effect.DONE)
                        .setSessionToken(request.getSessionToken())
                        .setDatabaseId(transaction.group().getPrimaryId())
                        .build());
    }

    private GroupView writableGroup(LeasedView leased, BeginRequest request) {
        ServiceDefinition service = StatementRequest.service(leased.view(), request.getService());
        String name = GroupRouting.groupOf(service.getGroupsList(), request.getRoutingKey());
        return writePath.writableGroup(leased, name);
    }

    private CompletableFuture<TransactionId> beginOn(
            PeerConnection connection,
            BeginRequest request,
            GroupView group,
            HeldDatabase database,
            RequestContext context,
            int timeoutMs) {
        Envelope begin = Envelope.newBuilder()
                .setBeginTransaction(BeginTransaction.newBuilder()
                        .setTerm(request.getReadOnly() ? 0 : group.getTerm())
                        .setReadOnly(request.getReadOnly()))
                .build();
        return database.send(connection, begin, context)
                .handleAsync(
                        (response, error) -> {
                            if (error != null) {
                                database.pool().discard(connection);
                                throw FailureException.of(error);
                            }
                            TransactionId id = TransactionId.create(proxyId, incarnation);
                            Instant now = dispatcher.clock().instant();
                            openTransactions.put(
                                    id,
                                    new OpenTransaction(
                                            id,
                                            group,
                                            database,
                                            connection,
                                            request.getReadOnly(),
                                            context,
                                            timeoutMs,
                                            now));
                            return id;
                        },
                        dispatcher);
    }

    private OpenTransaction findIdle(TransactionId id, FailureType typeIfAbsent) {
        OpenTransaction transaction = openTransactions.get(id);
        if (transaction == null) {
            throw new FailureException(typeIfAbsent, "the transaction is closed, or was never open on this proxy");
        }
        if (transaction.isBusy()) {
            throw new FailureException(
                    FailureType.INVALID_REQUEST, "another request of this transaction is in progress");
        }
        return transaction;
    }

    private FailureException toStatementFailure(OpenTransaction transaction, FailureException failure) {
        if (HeldDatabase.mayReceiveLateResponse(failure)
                || !transaction.connection().isOpen()) {
            close(transaction);
            return new FailureException(
                    FailureType.TRANSACTION_LOST, failure.type().name());
        }
        return failure;
    }

    private ExecuteResponse executeResponse(
            OpenTransaction transaction, StatementsExecuted executed, SessionToken token) {
        LogPosition position = Envelopes.position(executed.getPosition());
        return ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .addAllResults(executed.getResultsList())
                .setSessionToken(
                        token.withRead(transaction.group().getGroup(), position).encode())
                .setDatabaseId(transaction.group().getPrimaryId())
                .build();
    }

    /** Sends the commit or rollback to the database. The transaction is closed whatever the outcome is. */
    private CompletableFuture<TransactionEnded> endTransaction(
            OpenTransaction transaction, Envelope request, RequestContext context) {
        return transaction
                .database()
                .send(transaction.connection(), request, context)
                .handleAsync(
                        (response, error) -> {
                            if (error != null) {
                                close(transaction);
                                throw FailureException.of(error);
                            }
                            openTransactions.remove(transaction.id());
                            transaction.database().pool().release(transaction.connection());
                            return response.getTransactionEnded();
                        },
                        dispatcher);
    }

    private CompletableFuture<ExecuteResponse> acknowledge(
            OpenTransaction transaction, TransactionEnded ended, RequestContext context, SessionToken token) {
        String group = transaction.group().getGroup();
        ExecuteResponse.Builder response = ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .setDatabaseId(transaction.group().getPrimaryId())
                .setReplayed(ended.getReplayed())
                .addAllResults(ended.getFirstResultsList());
        LogPosition position = Envelopes.position(ended.getPosition());
        if (transaction.readOnly()) {
            return CompletableFuture.completedFuture(
                    response.setSessionToken(token.withRead(group, position).encode())
                            .build());
        }
        StatementsExecuted executed = StatementsExecuted.newBuilder()
                .setPosition(ended.getPosition())
                .setTerm(ended.getTerm())
                .build();
        return writePath
                .acknowledge(transaction.group(), executed, context)
                .thenApply(acknowledged -> response.setSessionToken(
                                token.withWrite(group, acknowledged).encode())
                        .build());
    }

    private int openTransactionsOn(HeldDatabase database) {
        return (int) openTransactions.values().stream()
                .filter(transaction -> transaction.database() == database)
                .count();
    }

    private void closeIdleTransactions() {
        Instant idleBefore = dispatcher.clock().instant().minus(idleTimeout);
        for (OpenTransaction transaction : List.copyOf(openTransactions.values())) {
            boolean idle = !transaction.isBusy() && !transaction.lastUsedAt().isAfter(idleBefore);
            if (idle || !transaction.connection().isOpen()) {
                close(transaction);
            }
        }
        dispatcher.schedule(IDLE_CHECK_INTERVAL, this::closeIdleTransactions);
    }

    private void close(OpenTransaction transaction) {
        openTransactions.remove(transaction.id());
        transaction.database().pool().discard(transaction.connection());
    }
}
