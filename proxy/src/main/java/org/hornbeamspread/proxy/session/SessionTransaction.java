package org.hornbeamspread.proxy.session;

import java.util.List;
import java.util.Optional;
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
 * A client's transaction. The first statement leases a connection, which the transaction holds until its end. Before COMMIT has
 * been sent, no change of the transaction can be committed, so every earlier failure is reported as ABORTED.
 */
final class SessionTransaction {
    private final SessionContext context;
    private final ClientSession session;
    private final Route route;
    private final Caller caller;
    private final boolean readOnly;
    private final OperationPermit permit;
    private Optional<ConnectionLease> lease = Optional.empty();

    /** Whether BEGIN has succeeded on the leased connection. */
    private boolean begun;

    private boolean hasWrites;

    /** Whether a statement of the transaction was sent. */
    private boolean anySent;

    /** Whether a statement of the transaction has succeeded. */
    private boolean anyRan;

    /** Whether COMMIT has started; the transaction ends with its result. */
    private boolean committing;

    private boolean ended;

    SessionTransaction(SessionContext context, ClientSession session, Route route, Caller caller, boolean readOnly) {
        this.context = context;
        this.session = session;
        this.route = route;
        this.caller = caller;
        this.readOnly = readOnly;
        this.permit = new OperationPermit(context.quotas(), caller);
    }

    Route route() {
        return route;
    }

    SessionOperation operation(ForwardedStatement statement) {
        return new TransactionStatement(statement);
    }

    /**
     * Rolls back the transaction. Call only while no statement runs, or after the client has disconnected. The connection is closed
     * if the response does not arrive within the statement timeout.
     */
    void rollBack() {
        ended = true;
        permit.end();
        if (lease.isEmpty()) {
            return;
        }
        ConnectionLease heldLease = lease.get();
        lease = Optional.empty();
        if (!begun) {
            heldLease.discard();
            return;
        }
        ScheduledFuture<?> timeout = context.schedule(heldLease::discardUnanswered, route.statementTimeoutMs());
        heldLease
                .connection()
                .send(List.of(SqlRequest.internal(new SqlStatement.Rollback())))
                .get(0)
                .whenComplete((result, error) -> {
                    timeout.cancel(false);
                    if (error == null && result.isSuccess() && result.state() == TransactionState.IDLE) {
                        heldLease.release();
                    } else {
                        heldLease.discard();
                    }
                });
    }

    boolean isCommitting() {
        return committing;
    }

    /** Ends the transaction while a statement runs, by closing its connection. */
    void discard() {
        lease.ifPresent(ConnectionLease::discard);
    }

    private boolean needsPrimary() {
        return !readOnly || route.kind() == RouteKind.PRIMARY;
    }

    /** A statement of the transaction. */
    private final class TransactionStatement implements SessionOperation, ConnectionRequest.Listener {
        /** Delay before a statement that the database refused as BUSY is retried on the same connection. */
        private static final long BUSY_RETRY_MS = 20;

        private final ForwardedStatement statement;
        private final ConnectionRequest connectionRequest;
        private long sentMs;
        private long sentEpoch;
        private CommitTracker.SentCommit sentCommit = CommitTracker.SentCommit.NONE;
        private boolean sent;
        private boolean timedOut;
        private boolean completed;

        TransactionStatement(ForwardedStatement statement) {
            this.statement = statement;
            this.connectionRequest = new ConnectionRequest(
                    context.nextConnectionRequestId(),
                    statement.request().id(),
                    route,
                    Optional.of(caller),
                    needsPrimary(),
                    session.minPosition(route.service()),
                    session.values(),
                    context.nowMs(),
                    context.startDeadlineMs(route),
                    this);
            connectionRequest.mayWrite = !readOnly;
        }

        @Override
        public void start() {
            committing |= statement.kind() == ForwardedStatement.Kind.COMMIT;
            if (readOnly && statement.kind() == ForwardedStatement.Kind.WRITE) {
                context.onRefused(RefusalReason.READ_ONLY_TRANSACTION);
                fail(SqlError.READ_ONLY, "", RefusalReason.READ_ONLY_TRANSACTION.name());
            } else if (session.findRevocation(route, caller).isPresent()) {
                abortRevoked();
            } else if (lease.isPresent() && mustNotCommit(lease.get())) {
                abortSealed(lease.get());
            } else if (lease.isPresent()) {
                send(lease.get());
            } else {
                permit.acquire(route, connectionRequest.startDeadlineMs, new QuotaGate.Waiter() {
                    @Override
                    public void onAdmitted(long refundableUntilMs) {
                        if (!completed && !ended) {
                            context.router().route(connectionRequest);
                        } else {
                            permit.end();
                        }
                    }

                    @Override
                    public void onLimited(long retryAfterMs) {
                        refuse(RefusalReason.QUOTA_EXCEEDED, SessionContext.retryAfter(retryAfterMs));
                    }
                });
            }
        }

        /** Whether the statement would commit writes at a primary that may be about to be replaced. */
        private boolean mustNotCommit(ConnectionLease heldLease) {
            return statement.kind() == ForwardedStatement.Kind.COMMIT
                    && hasWrites
                    && context.router().isSealed(heldLease.instance());
        }

        /** Ends the transaction of a caller who may run nothing more. */
        private void abortRevoked() {
            RefusalReason reason = session.findRevocation(route, caller).orElse(RefusalReason.WORKSPACE_CHANGED);
            String instanceId = lease.map(held -> held.instance().instanceId()).orElse("");
            lease.ifPresent(ConnectionLease::discard);
            lease = Optional.empty();
            context.onRefused(reason);
            fail(SqlError.ABORTED, instanceId, reason.name());
        }

        /** Ends the transaction whose COMMIT was not sent. */
        private void abortSealed(ConnectionLease heldLease) {
            heldLease.discard();
            lease = Optional.empty();
            context.onSealed(SqlError.ABORTED);
            fail(SqlError.ABORTED, heldLease.instance().instanceId(), SessionContext.SEALED);
        }

        @Override
        public void onTimeout() {
            if (completed) {
                return;
            }
            timedOut = true;
            if (lease.isPresent() && sent) {
                lease.get().discardUnanswered();
                return;
            }
            lease.ifPresent(ConnectionLease::discard);
            lease = Optional.empty();
            connectionRequest.cancel();
            onRefused(RefusalReason.NOT_SENT_IN_TIME);
        }

        @Override
        public void onClientDisconnected() {
            completed = true;
            connectionRequest.cancel();
            // A COMMIT that was sent still completes. After any other running statement the transaction is rolled back.
        }

        @Override
        public void onRefused(RefusalReason reason) {
            refuse(reason, context.refusalDetail(connectionRequest, reason));
        }

        private void refuse(RefusalReason reason, String detail) {
            if (!completed) {
                context.onRefused(reason);
                fail(SqlError.BUSY, detail, "", reason.name());
            }
        }

        @Override
        public void onLease(ConnectionLease granted) {
            if (completed || ended) {
                granted.release();
                return;
            }
            // The session's values and BEGIN are sent ahead of the statement.
            if (session.findRevocation(route, caller).isPresent()) {
                granted.release();
                abortRevoked();
                return;
            }
            lease = Optional.of(granted);
            sentMs = context.nowMs();
            sentEpoch = context.clockEpoch();
            granted.setRetryable(true);
            boolean readWrite = connectionRequest.requiredPosition.isEmpty();
            SqlRequest begin = SqlRequest.internal(new SqlStatement.Begin(!readWrite));
            granted.connection()
                    .begin(
                            session.values(),
                            readWrite ? begin : begin.requiringPosition(connectionRequest.requiredPosition.get()))
                    .whenComplete((result, error) -> onBeginResult(granted, readWrite, result, error));
        }

        private void onBeginResult(ConnectionLease granted, boolean readWrite, SqlResult result, Throwable error) {
            if (error == null && result.isSuccess()) {
                begun = true;
                granted.setRetryable(false);
                if (readWrite) {
                    onProof(granted, result);
                }
                if (completed || ended) {
                    rollBack();
                } else {
                    send(granted);
                }
                return;
            }
            lease = Optional.empty();
            connectionRequest.triedInstanceIds.add(granted.instance().instanceId());
            connectionRequest.connectionLost |= error != null;
            if (error != null || result.state() != TransactionState.IDLE) {
                granted.discard();
            } else {
                granted.release();
            }
            if (error == null && result.hasError(SqlError.READ_ONLY)) {
                context.router().onNotPrimary(granted.instance().instanceId());
            } else if (error == null && result.hasError(SqlError.REPLICA_LAGGING)) {
                granted.pool().onLagging(Math.max(1, route.maxStalenessMs() / 4));
            }
            if (timedOut) {
                fail(SqlError.ABORTED, granted.instance().instanceId(), "no response to BEGIN in time");
            } else if (!completed && !ended) {
                context.router()
                        .retry(
                                connectionRequest,
                                error == null
                                        ? RetryReason.of(result.error().orElseThrow())
                                        : RetryReason.CONNECTION_LOST);
            }
        }

        private void send(ConnectionLease heldLease) {
            new StatementSender(
                            heldLease,
                            statement.request(),
                            statement.preparedDefinition(),
                            List.of(),
                            () -> beforeSend(heldLease),
                            (result, error) -> onResult(heldLease, result, error))
                    .send(session, route.priority(), connectionRequest.share());
        }

        private boolean beforeSend(ConnectionLease heldLease) {
            if (completed || ended || lease.filter(heldLease::equals).isEmpty()) {
                return false;
            }
            if (session.findRevocation(route, caller).isPresent()) {
                abortRevoked();
                return false;
            }
            if (mustNotCommit(heldLease)) {
                abortSealed(heldLease);
                return false;
            }
            sent = heldLease.connection().isOpen();
            if (sent && !anySent) {
                anySent = true;
                permit.onSent();
            }
            sentMs = context.nowMs();
            sentEpoch = context.clockEpoch();
            if (statement.kind() != ForwardedStatement.Kind.READ) {
                ServiceState state = context.router().serviceState(route.service());
                state.pendingWriteSentAtMs.put(connectionRequest.id, sentMs);
                sentCommit = state.commits.onSend();
            }
            return true;
        }

        private void onResult(ConnectionLease heldLease, SqlResult result, Throwable error) {
            context.router().serviceState(route.service()).pendingWriteSentAtMs.remove(connectionRequest.id);
            String instanceId = heldLease.instance().instanceId();
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            if (error != null) {
                heldLease.discard();
                lease = Optional.empty();
                if (completed) {
                    return;
                }
                String reason = timedOut
                        ? "no response within " + route.statementTimeoutMs() + " ms"
                        : FailureException.of(error).getMessage();
                fail(commit && sent ? SqlError.IN_DOUBT : SqlError.ABORTED, instanceId, reason);
                return;
            }
            heldLease.pool().recordServiceTime(context.nowMs() - sentMs);
            if (completed && !commit) {
                return;
            }
            if (!result.isSuccess()) {
                onError(heldLease, result, commit);
                return;
            }
            anyRan = true;
            if (statement.kind() == ForwardedStatement.Kind.WRITE) {
                hasWrites = true;
            }
            if (!commit) {
                if (needsPrimary()) {
                    onProof(heldLease, result);
                }
                complete(result.withState(TransactionState.OPEN), instanceId, "");
                return;
            }
            lease = Optional.empty();
            if (result.state() == TransactionState.IDLE) {
                heldLease.release();
            } else {
                heldLease.discard();
            }
            if (hasWrites) {
                if (!context.acknowledges(route, sentCommit, result)) {
                    context.onSealed(SqlError.IN_DOUBT);
                    fail(SqlError.IN_DOUBT, instanceId, SessionContext.SEALED);
                    return;
                }
                onProof(heldLease, result);
                result.position().ifPresent(position -> session.raiseMinPosition(route.service(), position));
            }
            complete(result.withState(TransactionState.IDLE), instanceId, "");
        }

        private void onError(ConnectionLease heldLease, SqlResult result, boolean commit) {
            if (result.hasError(SqlError.BUSY) && result.state() == TransactionState.OPEN && !timedOut && !ended) {
                context.onRetry(RetryReason.BUSY);
                context.schedule(() -> resend(heldLease), BUSY_RETRY_MS);
                return;
            }
            lease = Optional.empty();
            heldLease.discard();
            SqlError error = result.error().orElseThrow();
            if (error.isNotRun() && sent && !anyRan) {
                permit.onNotRun();
            }
            if (error == SqlError.READ_ONLY) {
                context.router().onNotPrimary(heldLease.instance().instanceId());
            }
            boolean knownNotCommitted = error.isNotRun() || !commit;
            fail(
                    knownNotCommitted ? SqlError.ABORTED : error,
                    heldLease.instance().instanceId(),
                    error + " " + result.detail());
        }

        private void resend(ConnectionLease heldLease) {
            if (heldLease.connection().isOpen() && !completed && !ended) {
                send(heldLease);
            } else {
                onResult(
                        heldLease,
                        null,
                        new FailureException(
                                FailureType.CONNECTION_LOST, "connection closed before the statement was retried"));
            }
        }

        private void onProof(ConnectionLease heldLease, SqlResult result) {
            LogPosition position = result.position().orElse(LogPosition.NONE);
            context.router().onPrimaryProof(heldLease.instance(), sentMs, sentEpoch, position);
        }

        private void fail(SqlError error, String instanceId, String reason) {
            fail(error, "", instanceId, reason);
        }

        private void fail(SqlError error, String detail, String instanceId, String reason) {
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            TransactionState nextState = commit ? TransactionState.IDLE : TransactionState.FAILED;
            complete(SqlResult.failure(error, detail, nextState), instanceId, reason);
        }

        private void complete(SqlResult result, String instanceId, String reason) {
            if (!completed) {
                completed = true;
                if (statement.kind() == ForwardedStatement.Kind.COMMIT) {
                    permit.end();
                }
                context.record(
                        statement.request().id(), route, instanceId, connectionRequest.arrivedMs, result, reason);
                session.complete(this, result);
            }
        }
    }
}
