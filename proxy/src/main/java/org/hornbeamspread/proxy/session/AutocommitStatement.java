package org.hornbeamspread.proxy.session;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import org.hornbeamspread.core.failover.CommitTracker;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.TransactionState;

/**
 * A read or write outside of a transaction. A read is retried on another instance after any failure, a write only after a
 * failure that proves that the write did not run. Reads of primary routes run inside a read-write transaction that the proxy
 * begins and rolls back, since a database that is no longer the primary refuses such a transaction.
 */
final class AutocommitStatement implements SessionOperation, ConnectionRequest.Listener {
    /** Four round trips between regions. Nothing of the statement has been sent, so an early timeout costs a new connection. */
    private static final long VALIDATION_TIMEOUT_MS = 100;

    private final SessionContext context;
    private final ClientSession session;
    private final Route route;
    private final Caller caller;
    private final ForwardedStatement statement;
    private final ConnectionRequest connectionRequest;
    private final OperationPermit permit;
    private Optional<ConnectionLease> lease = Optional.empty();
    private long sentMs;
    private long sentEpoch;
    private CommitTracker.SentCommit sentCommit = CommitTracker.SentCommit.NONE;
    private boolean sent;
    private boolean timedOut;
    private boolean completed;

    AutocommitStatement(
            SessionContext context, ClientSession session, Route route, Caller caller, ForwardedStatement statement) {
        this.context = context;
        this.session = session;
        this.route = route;
        this.caller = caller;
        this.statement = statement;
        this.connectionRequest = new ConnectionRequest(
                context.nextConnectionRequestId(),
                statement.request().id(),
                route,
                Optional.of(caller),
                isWrite() || route.kind() == RouteKind.PRIMARY,
                session.minPosition(route.service()),
                session.values(),
                context.nowMs(),
                context.startDeadlineMs(route),
                this);
        connectionRequest.mayWrite = isWrite();
        this.permit = new OperationPermit(context.quotas(), caller);
    }

    @Override
    public void start() {
        permit.acquire(route, connectionRequest.startDeadlineMs, new QuotaGate.Waiter() {
            @Override
            public void onAdmitted(long refundableUntilMs) {
                if (completed) {
                    permit.end();
                } else {
                    context.router().route(connectionRequest);
                }
            }

            @Override
            public void onLimited(long retryAfterMs) {
                refuse(RefusalReason.QUOTA_EXCEEDED, SessionContext.retryAfter(retryAfterMs));
            }
        });
    }

    @Override
    public void onTimeout() {
        timedOut = true;
        if (lease.isPresent() && (sent || completed)) {
            lease.get().discardUnanswered();
        } else if (!completed) {
            lease.ifPresent(ConnectionLease::discard);
            connectionRequest.cancel();
            onRefused(RefusalReason.NOT_SENT_IN_TIME);
        }
    }

    @Override
    public void onClientDisconnected() {
        completed = true;
        if (lease.isEmpty()) {
            connectionRequest.cancel();
        }
        // What has not been sent by now is not sent any more.
        permit.end();
    }

    @Override
    public void onRefused(RefusalReason reason) {
        refuse(reason, context.refusalDetail(connectionRequest, reason));
    }

    private void refuse(RefusalReason reason, String detail) {
        if (completed) {
            return;
        }
        context.onRefused(reason);
        complete(SqlResult.failure(reason.error(), detail, TransactionState.IDLE), "", reason.name());
    }

    @Override
    public void onLease(ConnectionLease granted) {
        if (completed) {
            granted.release();
            return;
        }
        // The session's values and BEGIN are sent ahead of the statement.
        Optional<RefusalReason> revocation = session.findRevocation(route, caller);
        if (revocation.isPresent()) {
            granted.release();
            onRefused(revocation.get());
            return;
        }
        lease = Optional.of(granted);
        if (!isWrite()) {
            granted.setRetryable(true);
        }
        sentMs = context.nowMs();
        sentEpoch = context.clockEpoch();
        sent = false;
        if (isWrite()) {
            sendWrite(granted);
        } else if (connectionRequest.requiredPosition.isPresent()) {
            send(granted, statement.request().requiringPosition(connectionRequest.requiredPosition.get()), List.of());
        } else {
            beginReadWriteTransaction(granted);
        }
    }

    /** Sends a write once the connection is known to respond; a write that was sent is in doubt if it does not. */
    private void sendWrite(ConnectionLease granted) {
        granted.setRetryable(true);
        CompletableFuture<Void> validated = granted.connection().validate();
        if (!validated.isDone()) {
            ScheduledFuture<?> timer = context.schedule(granted::discardSilent, VALIDATION_TIMEOUT_MS);
            validated.whenComplete((ignored, error) -> timer.cancel(false));
        }
        validated.whenComplete((ignored, error) -> {
            granted.setRetryable(false);
            if (error == null) {
                send(granted, statement.request(), List.of());
            } else {
                onResult(granted, null, error);
            }
        });
    }

    private boolean isWrite() {
        return statement.kind() == ForwardedStatement.Kind.WRITE;
    }

    private void beginReadWriteTransaction(ConnectionLease granted) {
        granted.connection()
                .begin(session.values(), SqlRequest.internal(new SqlStatement.Begin(false)))
                .whenComplete((begun, error) -> {
                    if (error != null || !begun.isSuccess()) {
                        onResult(granted, begun, error);
                    } else {
                        onProof(granted, begun);
                        if (completed) {
                            granted.discard();
                            return;
                        }
                        SqlRequest rollBack = SqlRequest.internal(new SqlStatement.Rollback());
                        send(granted, statement.request(), List.of(rollBack));
                    }
                });
    }

    private void send(ConnectionLease granted, SqlRequest request, List<SqlRequest> trailing) {
        new StatementSender(
                        granted,
                        request,
                        statement.preparedDefinition(),
                        trailing,
                        () -> beforeSend(granted),
                        (result, error) -> onResult(granted, result, error))
                .send(session, route.priority(), connectionRequest.share());
    }

    private boolean beforeSend(ConnectionLease granted) {
        if (completed) {
            granted.discard();
            return false;
        }
        Optional<RefusalReason> revocation = session.findRevocation(route, caller);
        if (revocation.isPresent()) {
            granted.discard();
            lease = Optional.empty();
            onRefused(revocation.get());
            return false;
        }
        if (isWrite() && !granted.pool().isReachable()) {
            granted.discard();
            lease = Optional.empty();
            onConnectionLost(
                    granted.instance().instanceId(), new FailureException(FailureType.CONNECTION_LOST, "silent"));
            return false;
        }
        if (isWrite() && context.router().isSealed(granted.instance())) {
            granted.release();
            lease = Optional.empty();
            context.router().retry(connectionRequest, RetryReason.SEALED);
            return false;
        }
        sent = granted.connection().isOpen();
        if (sent) {
            permit.onSent();
        }
        sentMs = context.nowMs();
        sentEpoch = context.clockEpoch();
        if (isWrite()) {
            ServiceState state = context.router().serviceState(route.service());
            state.pendingWriteSentAtMs.put(connectionRequest.id, sentMs);
            sentCommit = state.commits.onSend();
        }
        return true;
    }

    private void onResult(ConnectionLease granted, SqlResult result, Throwable error) {
        context.router().serviceState(route.service()).pendingWriteSentAtMs.remove(connectionRequest.id);
        lease = Optional.empty();
        String instanceId = granted.instance().instanceId();
        if (error != null) {
            granted.discard();
            onConnectionLost(instanceId, FailureException.of(error));
            return;
        }
        if (sent && result.error().filter(SqlError::isNotRun).isPresent()) {
            permit.onNotRun();
        }
        boolean inReadWriteTransaction = !isWrite() && connectionRequest.requiredPosition.isEmpty();
        if (result.state() == TransactionState.IDLE || (inReadWriteTransaction && result.isSuccess())) {
            granted.release();
        } else {
            granted.discard();
        }
        granted.pool().recordServiceTime(context.nowMs() - sentMs);
        if (result.isSuccess()) {
            onSuccess(granted, result);
        } else {
            onError(granted, result);
        }
    }

    private void onSuccess(ConnectionLease granted, SqlResult result) {
        if (isWrite()) {
            if (!context.acknowledges(route, sentCommit, result)) {
                context.onSealed(SqlError.IN_DOUBT);
                complete(
                        SqlResult.failure(SqlError.IN_DOUBT, "", TransactionState.IDLE),
                        granted.instance().instanceId(),
                        SessionContext.SEALED);
                return;
            }
            onProof(granted, result);
            result.position().ifPresent(position -> session.raiseMinPosition(route.service(), position));
        }
        complete(result.withState(TransactionState.IDLE), granted.instance().instanceId(), "");
    }

    private void onProof(ConnectionLease granted, SqlResult result) {
        LogPosition position = result.position().orElse(LogPosition.NONE);
        context.router().onPrimaryProof(granted.instance(), sentMs, sentEpoch, position);
    }

    private void onError(ConnectionLease granted, SqlResult result) {
        SqlError error = result.error().orElseThrow();
        String instanceId = granted.instance().instanceId();
        if (error == SqlError.READ_ONLY) {
            context.router().onNotPrimary(instanceId);
        } else if (error == SqlError.REPLICA_LAGGING) {
            granted.pool().onLagging(Math.max(1, route.maxStalenessMs() / 4));
        }
        connectionRequest.triedInstanceIds.add(instanceId);
        boolean sameEverywhere = error == SqlError.MALFORMED || error == SqlError.TOO_LARGE;
        boolean retryable = (error.isNotRun() || !isWrite()) && !sameEverywhere;
        if (retryable && !timedOut && !completed) {
            context.router().retry(connectionRequest, RetryReason.of(error));
        } else {
            complete(result.withState(TransactionState.IDLE), instanceId, result.detail());
        }
    }

    private void onConnectionLost(String instanceId, FailureException failure) {
        connectionRequest.triedInstanceIds.add(instanceId);
        connectionRequest.connectionLost = true;
        if ((!isWrite() || !sent) && !timedOut && !completed) {
            context.router().retry(connectionRequest, RetryReason.CONNECTION_LOST);
            return;
        }
        SqlError connectionError = isWrite() ? SqlError.IN_DOUBT : SqlError.TIMEOUT;
        SqlError error = sent ? connectionError : SqlError.BUSY;
        String reason = timedOut ? "no response within " + route.statementTimeoutMs() + " ms" : failure.getMessage();
        complete(SqlResult.failure(error, "", TransactionState.IDLE), instanceId, reason);
    }

    private void complete(SqlResult result, String instanceId, String reason) {
        if (!completed) {
            completed = true;
            permit.end();
            context.record(statement.request().id(), route, instanceId, connectionRequest.arrivedMs, result, reason);
            session.complete(this, result);
        }
    }
}
