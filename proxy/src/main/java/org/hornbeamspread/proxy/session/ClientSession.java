package org.hornbeamspread.proxy.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.PreparedDefinition;
import org.hornbeamspread.core.sql.StatementSize;
import org.hornbeamspread.core.sql.TransactionState;
import org.hornbeamspread.proxy.session.CallerAuthenticator.Authentication;

/**
 * A client's session. It holds the session values and the prepared statements, which are restored on the connection that runs
 * the next statement. Requests are handled one at a time. Confined to the engine's thread.
 */
public final class ClientSession {
    /** Limit of pipelined requests without a response; a client that exceeds it is disconnected. */
    private static final int MAX_PENDING_REQUESTS = 1_024;

    /** A request above this size is ended when its session is evicted; the memory of a smaller one is not worth an unknown outcome. */
    private static final long LARGE_REQUEST_BYTES = 64 << 10;

    private final SessionContext context;
    private final String database;

    /** The key that the client sent with its first message; secret. */
    private final Optional<String> key;

    private final ClientConnection client;
    private Map<String, String> values = new TreeMap<>();
    private final Map<String, PreparedDefinition> prepared = new HashMap<>();
    /** The position of the session's last commit by service, which read-your-writes reads require. */
    private final Map<String, LogPosition> minPositions = new HashMap<>();

    private final Deque<SqlRequest> pendingRequests = new ArrayDeque<>();
    private final SessionMemory memory;
    private TransactionState state = TransactionState.IDLE;

    /** Present from BEGIN until the end of the transaction, also while the state is FAILED. */
    private Optional<SessionTransaction> transaction = Optional.empty();

    /** Why the proxy aborted the transaction; present until the client has received the error. */
    private Optional<String> abortReason = Optional.empty();

    /** The error that ends the session after the responses to {@link #pendingRequests}. */
    private Optional<Refusal> refusal = Optional.empty();

    private Optional<SessionOperation> currentOperation = Optional.empty();
    private ScheduledFuture<?> statementTimer;
    private boolean handlingRequests;
    private boolean closeWhenIdle;
    private boolean closed;
    private long idleSinceMs;

    ClientSession(SessionContext context, String database, Optional<String> key, ClientConnection client) {
        this.context = context;
        this.database = database;
        this.key = key;
        this.client = client;
        this.memory = new SessionMemory(context.clientMemory(), this::onEvicted);
        this.idleSinceMs = context.nowMs();
    }

    /** Handles a request, or queues it behind the requests before it. Ignored after {@link #refuse}. */
    public void onRequest(SqlRequest request) {
        if (closed || refusal.isPresent()) {
            return;
        }
        if (pendingRequests.size() >= MAX_PENDING_REQUESTS) {
            refuse(SqlError.TOO_LARGE, "too many requests without an answer");
            return;
        }
        memory.onArrived(request);
        if (closed || refusal.isPresent()) {
            return;
        }
        pendingRequests.add(request);
        memory.onWaiting(request);
        handlePendingRequests();
    }

    /** The size of the requests behind the one in progress. */
    public long waitingBytes() {
        return memory.waitingBytes();
    }

    /** Updates the size of the responses that the client has not read. */
    public void onUnread(long bytes) {
        memory.setUnread(bytes);
    }

    /** Handles the requests that waited until the client read its responses. */
    public void onWritable() {
        handlePendingRequests();
    }

    /** Handles a request that could not be parsed; the error response keeps its place in the order of the requests. */
    public void onMalformed(String detail) {
        onRequest(new SqlRequest("", Optional.empty(), new SqlStatement.Status()));
        context.events().record("request_malformed", "database", database, "detail", detail);
    }

    /**
     * Refuses a request, and every later one. The error is sent, and the session ends, after the responses to the requests before:
     * responses carry no id, so an error ahead of its turn would be taken for the response to an earlier request.
     */
    public void refuse(SqlError error, String detail) {
        if (!closed && refusal.isEmpty()) {
            refusal = Optional.of(new Refusal(error, detail));
            handlePendingRequests();
        }
    }

    /**
     * Ends the session, which holds more memory than any other. Requests behind the one in progress have not run and are dropped; a
     * large one in progress ends as at its timeout.
     */
    private void onEvicted() {
        context.onRefused(RefusalReason.CLIENT_MEMORY);
        context.events()
                .record(
                        "client_evicted",
                        "database",
                        database,
                        "waiting_bytes",
                        memory.waitingBytes(),
                        "unread_bytes",
                        memory.unreadBytes());
        pendingRequests.clear();
        memory.onWaitingDropped();
        refusal = refusal.or(() -> Optional.of(new Refusal(SqlError.BUSY, RefusalReason.CLIENT_MEMORY.name())));
        // Deferred: the request of another session that is being handled has caused the eviction.
        context.schedule(this::endEvicted, 0);
    }

    private void endEvicted() {
        if (closed) {
            return;
        }
        if (memory.unreadBytes() > 0) {
            client.abort();
            onClosed();
            return;
        }
        handlePendingRequests();
        if (memory.currentBytes() > LARGE_REQUEST_BYTES) {
            currentOperation.ifPresent(SessionOperation::onTimeout);
        }
    }

    /** Rolls back an open transaction and releases the session after the client's connection has closed. */
    public void onClosed() {
        if (closed) {
            return;
        }
        closed = true;
        memory.close();
        pendingRequests.clear();
        prepared.clear();
        // The connection may hold the session while it discards input. An operation that was sent holds the former map.
        values = new TreeMap<>();
        // The timer of a statement that was sent still runs: it frees a database connection that does not respond.
        currentOperation.ifPresent(SessionOperation::onClientDisconnected);
        transaction.ifPresent(SessionTransaction::rollBack);
        transaction = Optional.empty();
        context.removeSession(this);
    }

    /** Closes the session as soon as no transaction is open and no request is pending. */
    void closeWhenIdle() {
        closeWhenIdle = true;
        closeIfIdle();
    }

    /**
     * Rolls back an open transaction; the client receives the error as the response to its next request. A transaction whose COMMIT
     * is running ends by the response to it, since the database may commit whatever the proxy does.
     */
    void abortTransaction(String reason) {
        boolean committing =
                transaction.filter(SessionTransaction::isCommitting).isPresent();
        if (state == TransactionState.OPEN && abortReason.isEmpty() && !committing) {
            abortReason = Optional.of(reason);
            context.events().record("transaction_aborted", "database", database, "reason", reason);
            if (currentOperation.isEmpty()) {
                transaction.ifPresent(SessionTransaction::rollBack);
            } else {
                transaction.ifPresent(SessionTransaction::discard);
            }
        }
    }

    /** How long an open transaction has been idle; 0 if no transaction is open or a request is running. */
    long idleInTransactionMs() {
        boolean idle = state == TransactionState.OPEN && currentOperation.isEmpty();
        return idle ? context.nowMs() - idleSinceMs : 0;
    }

    /** Ends the session, and its open transaction, if a new configuration has revoked its key. */
    void onKeysChanged() {
        boolean revoked = context.view()
                .route(database)
                .filter(route -> context.authenticator().isKeyUnknown(key, route))
                .isPresent();
        if (revoked) {
            abortTransaction("the key was revoked");
            closeWhenIdle();
        }
    }

    /** Why a statement of an operation that began on behalf of a caller must not be sent; empty if it may. */
    Optional<RefusalReason> findRevocation(Route route, Caller caller) {
        // A transaction keeps the route with which it began; whether callers need a key is decided by the configuration
        // in force.
        Route current = context.view().route(database).orElse(route);
        return context.authenticator().findRevocation(key, current, caller);
    }

    Map<String, String> values() {
        return values;
    }

    LogPosition minPosition(String service) {
        return minPositions.getOrDefault(service, LogPosition.NONE);
    }

    void raiseMinPosition(String service, LogPosition position) {
        minPositions.merge(service, position, LogPosition::max);
    }

    /** Sends the result of an operation to the client; ignored if the operation is no longer the current one. */
    void complete(SessionOperation operation, SqlResult result) {
        if (closed || currentOperation.filter(operation::equals).isEmpty()) {
            return;
        }
        currentOperation = Optional.empty();
        cancelStatementTimer();
        reply(result);
    }

    /** Handles requests until one is in progress. A response calls this again; the loop of the outer call then continues. */
    private void handlePendingRequests() {
        if (handlingRequests) {
            return;
        }
        handlingRequests = true;
        try {
            boolean handled = true;
            while (handled && currentOperation.isEmpty() && !closed && client.isWritable()) {
                handled = handleNextRequest();
            }
        } finally {
            handlingRequests = false;
        }
    }

    private boolean handleNextRequest() {
        SqlRequest request = pendingRequests.poll();
        if (request != null) {
            memory.onHandled(request);
            handleRequest(request);
        } else if (refusal.isPresent()) {
            client.refuse(refusal.get().error(), refusal.get().detail());
            onClosed();
        }
        return request != null;
    }

    private void handleRequest(SqlRequest request) {
        SqlStatement statement = request.statement();
        if (abortReason.isPresent()) {
            String reason = abortReason.get();
            abortReason = Optional.empty();
            boolean endsTransaction =
                    statement instanceof SqlStatement.Commit || statement instanceof SqlStatement.Rollback;
            endTransaction();
            reply(
                    statement instanceof SqlStatement.Rollback
                            ? SqlResult.success(TransactionState.IDLE)
                            : SqlResult.failure(
                                    SqlError.ABORTED,
                                    reason,
                                    endsTransaction ? TransactionState.IDLE : TransactionState.FAILED));
        } else if (state == TransactionState.FAILED) {
            handleInFailedTransaction(statement);
        } else if (statement instanceof SqlStatement.Begin begin) {
            begin(begin);
        } else if (statement instanceof SqlStatement.Rollback) {
            rollBack();
        } else if (statement instanceof SqlStatement.SetValue set) {
            setValue(set);
        } else if (statement instanceof SqlStatement.Prepare prepare) {
            prepare(prepare);
        } else if (statement instanceof SqlStatement.Deallocate deallocate) {
            PreparedDefinition removed = prepared.remove(deallocate.name());
            memory.tryResizeState(-stateBytes(deallocate.name(), removed), prepared.size());
            reply(SqlResult.success(state));
        } else {
            handleForwarded(request);
        }
    }

    private void setValue(SqlStatement.SetValue set) {
        String previous = values.get(set.name());
        long previousBytes = previous == null ? 0 : StatementSize.bytes(set.name(), previous);
        long difference = StatementSize.bytes(set.name(), set.value()) - previousBytes;
        if (memory.tryResizeState(difference, values.size() + (previous == null ? 1 : 0))) {
            values.put(set.name(), set.value());
            reply(SqlResult.success(state));
        } else {
            refuseState();
        }
    }

    private void prepare(SqlStatement.Prepare prepare) {
        PreparedDefinition previous = prepared.get(prepare.name());
        long difference = stateBytes(prepare.name(), prepare.definition()) - stateBytes(prepare.name(), previous);
        if (memory.tryResizeState(difference, prepared.size() + (previous == null ? 1 : 0))) {
            prepared.put(prepare.name(), prepare.definition());
            reply(SqlResult.success(state));
        } else {
            refuseState();
        }
    }

    private void refuseState() {
        context.onRefused(RefusalReason.SESSION_STATE);
        context.events().record("session_state_refused", "database", database, "reason", RefusalReason.SESSION_STATE);
        reply(SqlResult.failure(
                RefusalReason.SESSION_STATE.error(), "too many values or statements", stateAfterError()));
    }

    private static long stateBytes(String name, PreparedDefinition definition) {
        return definition == null ? 0 : StatementSize.bytes(name, definition.text());
    }

    private void handleInFailedTransaction(SqlStatement statement) {
        if (statement instanceof SqlStatement.Rollback) {
            endTransaction();
            reply(SqlResult.success(TransactionState.IDLE));
        } else if (statement instanceof SqlStatement.Commit) {
            endTransaction();
            reply(SqlResult.failure(SqlError.ABORTED, "the transaction failed", TransactionState.IDLE));
        } else {
            reply(SqlResult.failure(SqlError.MALFORMED, "the transaction failed", TransactionState.FAILED));
        }
    }

    private void begin(SqlStatement.Begin begin) {
        Optional<Route> route = context.view().route(database);
        if (state != TransactionState.IDLE) {
            reply(SqlResult.failure(SqlError.MALFORMED, "already in a transaction", TransactionState.FAILED));
        } else if (route.isEmpty()) {
            reply(SqlResult.failure(SqlError.UNKNOWN_DATABASE, database, TransactionState.IDLE));
        } else {
            admit(route.get()).ifPresent(caller -> {
                transaction = Optional.of(new SessionTransaction(context, this, route.get(), caller, begin.readOnly()));
                reply(SqlResult.success(TransactionState.OPEN));
            });
        }
    }

    /** Returns the caller of a new operation, or refuses it. */
    private Optional<Caller> admit(Route route) {
        Authentication outcome = context.authenticator().authenticate(key, route);
        if (outcome instanceof Authentication.Admitted admitted) {
            return Optional.of(admitted.caller());
        }
        RefusalReason reason = ((Authentication.Refused) outcome).reason();
        context.onRefused(reason);
        closeWhenIdle |= reason == RefusalReason.UNKNOWN_KEY;
        reply(SqlResult.failure(reason.error(), reason.name(), state));
        return Optional.empty();
    }

    private void rollBack() {
        if (state == TransactionState.IDLE) {
            reply(SqlResult.failure(SqlError.MALFORMED, "no transaction", state));
            return;
        }
        endTransaction();
        reply(SqlResult.success(TransactionState.IDLE));
    }

    private void endTransaction() {
        transaction.ifPresent(SessionTransaction::rollBack);
        transaction = Optional.empty();
        state = TransactionState.IDLE;
    }

    private void handleForwarded(SqlRequest request) {
        Optional<ForwardedStatement> forwarded = ForwardedStatement.of(request, prepared);
        boolean commitWithoutTransaction = request.statement() instanceof SqlStatement.Commit && transaction.isEmpty();
        if (forwarded.isEmpty() || commitWithoutTransaction) {
            boolean isExecute = request.statement() instanceof SqlStatement.Execute;
            SqlError error = isExecute ? SqlError.UNKNOWN_PREPARED : SqlError.MALFORMED;
            reply(SqlResult.failure(error, "", stateAfterError()));
            return;
        }
        Optional<Route> route = transaction
                .map(SessionTransaction::route)
                .or(() -> context.view().route(database));
        if (route.isEmpty()) {
            reply(SqlResult.failure(SqlError.UNKNOWN_DATABASE, database, state));
            return;
        }
        if (transaction.isPresent()) {
            start(transaction.get().operation(forwarded.get()), route.get());
        } else {
            admit(route.get())
                    .ifPresent(caller -> start(
                            new AutocommitStatement(context, this, route.get(), caller, forwarded.get()), route.get()));
        }
    }

    private void start(SessionOperation operation, Route route) {
        currentOperation = Optional.of(operation);
        statementTimer = context.schedule(operation::onTimeout, route.statementTimeoutMs());
        operation.start();
    }

    private TransactionState stateAfterError() {
        return state == TransactionState.IDLE ? TransactionState.IDLE : TransactionState.FAILED;
    }

    private void reply(SqlResult result) {
        state = result.state();
        if (state == TransactionState.IDLE) {
            transaction = Optional.empty();
        }
        idleSinceMs = context.nowMs();
        memory.onReplied();
        client.reply(result);
        closeIfIdle();
        handlePendingRequests();
    }

    private void closeIfIdle() {
        if (closeWhenIdle
                && !closed
                && state == TransactionState.IDLE
                && currentOperation.isEmpty()
                && pendingRequests.isEmpty()
                && refusal.isEmpty()) {
            client.close();
            onClosed();
        }
    }

    /** The error that ends a session. */
    private record Refusal(SqlError error, String detail) {}

    private void cancelStatementTimer() {
        if (statementTimer != null) {
            statementTimer.cancel(false);
            statementTimer = null;
        }
    }
}
