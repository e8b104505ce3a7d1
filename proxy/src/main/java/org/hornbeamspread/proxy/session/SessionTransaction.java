package org.hornbeamspread.proxy.session;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.TransactionState;

/**
 * A client's transaction. It gets a connection with its first statement and keeps it to its end. Until COMMIT has been sent
 * nothing of it can be kept, so every failure before that is reported as aborted.
 */
final class SessionTransaction {
    private final SessionContext context;
    private final ClientSession session;
    private final Route route;
    private final boolean readOnly;
    private Optional<ConnectionLease> lease = Optional.empty();

    /** Whether the connection's transaction is open. */
    private boolean begun;

    private boolean hasWrites;
    private boolean ended;

    SessionTransaction(SessionContext context, ClientSession session, Route route, boolean readOnly) {
        this.context = context;
        this.session = session;
        this.route = route;
        this.readOnly = readOnly;
    }

    Route route() {
        return route;
    }

    SessionOperation operation(ForwardedStatement statement) {
        return new TransactionStatement(statement);
    }

    /** Ends it without keeping anything; to be called while no statement runs, or when the client has gone. */
    void rollBack() {
        ended = true;
        if (lease.isEmpty()) {
            return;
        }
        ConnectionLease held = lease.get();
        lease = Optional.empty();
        if (!begun) {
            held.discard();
            return;
        }
        held.connection()
                .send(List.of(SqlRequest.internal(new SqlStatement.Rollback())))
                .get(0)
                .whenComplete((result, error) -> {
                    if (error == null && result.isSuccess() && result.state() == TransactionState.IDLE) {
                        held.release();
                    } else {
                        held.discard();
                    }
                });
    }

    /** Ends it by closing its connection, under a statement that runs. */
    void discard() {
        lease.ifPresent(ConnectionLease::discard);
    }

    private boolean needsPrimary() {
        return !readOnly || route.kind() == RouteKind.PRIMARY;
    }

    /** One statement of the transaction. */
    private final class TransactionStatement implements SessionOperation, ConnectionRequest.Listener {
        /** Before a statement that the database had no capacity for is sent again on its connection. */
        private static final long BUSY_RETRY_MS = 20;

        private final ForwardedStatement statement;
        private final ConnectionRequest connectionRequest;
        private long sentMs;
        private long sentEpoch;
        private boolean sent;
        private boolean timedOut;
        private boolean completed;

        TransactionStatement(ForwardedStatement statement) {
            this.statement = statement;
            this.connectionRequest = new ConnectionRequest(
                    context.nextConnectionRequestId(),
                    statement.request().id(),
                    route,
                    needsPrimary(),
                    session.minPosition(route.service()),
                    session.values(),
                    context.nowMs(),
                    context.startDeadlineMs(route),
                    this);
        }

        @Override
        public void start() {
            if (readOnly && statement.kind() == ForwardedStatement.Kind.WRITE) {
                context.onRefused(RefusalReason.READ_ONLY_TRANSACTION);
                fail(SqlError.READ_ONLY, "", RefusalReason.READ_ONLY_TRANSACTION.name());
            } else if (lease.isPresent()) {
                send(lease.get());
            } else {
                context.placement().place(connectionRequest);
            }
        }

        @Override
        public void onTimeout() {
            timedOut = true;
            if (lease.isPresent() && sent) {
                lease.get().discard();
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
            // A commit that was sent runs to its end; anything else is rolled back behind the statement that runs.
        }

        @Override
        public void onRefused(RefusalReason reason) {
            context.onRefused(reason);
            fail(SqlError.BUSY, "", reason.name());
        }

        @Override
        public void onLease(ConnectionLease granted) {
            if (completed || ended) {
                granted.release();
                return;
            }
            lease = Optional.of(granted);
            sentMs = context.nowMs();
            sentEpoch = context.clockEpoch();
            granted.setRetryable(true);
            boolean plain = connectionRequest.requiredPosition.isEmpty();
            SqlRequest begin = SqlRequest.internal(new SqlStatement.Begin(!plain));
            granted.connection()
                    .send(List.of(plain ? begin : begin.requiringPosition(connectionRequest.requiredPosition.get())))
                    .get(0)
                    .whenComplete((result, error) -> onBeginResult(granted, plain, result, error));
        }

        private void onBeginResult(ConnectionLease granted, boolean plain, SqlResult result, Throwable error) {
            if (error == null && result.isSuccess()) {
                begun = true;
                granted.setRetryable(false);
                if (plain) {
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
            if (error != null || result.state() != TransactionState.IDLE) {
                granted.discard();
            } else {
                granted.release();
            }
            if (error == null && result.hasError(SqlError.READ_ONLY)) {
                context.placement().onNotPrimary(granted.instance().instanceId());
            } else if (error == null && result.hasError(SqlError.REPLICA_LAGGING)) {
                granted.link().onLagging(Math.max(1, route.maxStalenessMs() / 4));
            }
            if (timedOut) {
                fail(SqlError.ABORTED, granted.instance().instanceId(), "no answer to BEGIN in time");
            } else if (!completed && !ended) {
                context.placement()
                        .retry(
                                connectionRequest,
                                error == null
                                        ? RetryReason.of(result.error().orElseThrow())
                                        : RetryReason.CONNECTION_LOST);
            }
        }

        private void send(ConnectionLease held) {
            StatementSender.send(
                    held,
                    session,
                    statement.request(),
                    statement.preparedDefinition().orElse(null),
                    List.of(),
                    route.priority(),
                    () -> beforeSend(held),
                    (result, error) -> onResult(held, result, error));
        }

        private boolean beforeSend(ConnectionLease held) {
            if (completed || ended || lease.filter(held::equals).isEmpty()) {
                return false;
            }
            sent = held.connection().isOpen();
            sentMs = context.nowMs();
            sentEpoch = context.clockEpoch();
            if (statement.kind() != ForwardedStatement.Kind.READ) {
                context.placement().service(route.service()).writesSentMs.put(connectionRequest.id, sentMs);
            }
            return true;
        }

        private void onResult(ConnectionLease held, SqlResult result, Throwable error) {
            context.placement().service(route.service()).writesSentMs.remove(connectionRequest.id);
            String instanceId = held.instance().instanceId();
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            if (error != null) {
                held.discard();
                lease = Optional.empty();
                if (completed) {
                    return;
                }
                String reason = timedOut
                        ? "no answer within " + route.statementTimeoutMs() + " ms"
                        : FailureException.of(error).getMessage();
                fail(commit && sent ? SqlError.IN_DOUBT : SqlError.ABORTED, instanceId, reason);
                return;
            }
            held.link().onServed(context.nowMs() - sentMs);
            if (completed && !commit) {
                return;
            }
            if (!result.isSuccess()) {
                onError(held, result, commit);
                return;
            }
            if (statement.kind() == ForwardedStatement.Kind.WRITE) {
                hasWrites = true;
            }
            if (!commit) {
                if (needsPrimary()) {
                    onProof(held, result);
                }
                complete(result.withState(TransactionState.OPEN), instanceId, "");
                return;
            }
            lease = Optional.empty();
            if (result.state() == TransactionState.IDLE) {
                held.release();
            } else {
                held.discard();
            }
            if (hasWrites) {
                onProof(held, result);
                result.position().ifPresent(position -> session.raiseMinPosition(route.service(), position));
            }
            complete(result.withState(TransactionState.IDLE), instanceId, "");
        }

        private void onError(ConnectionLease held, SqlResult result, boolean commit) {
            if (result.hasError(SqlError.BUSY) && result.state() == TransactionState.OPEN && !timedOut && !ended) {
                context.onRetry(RetryReason.BUSY);
                context.schedule(() -> resend(held), BUSY_RETRY_MS);
                return;
            }
            lease = Optional.empty();
            held.discard();
            SqlError error = result.error().orElseThrow();
            if (error == SqlError.READ_ONLY) {
                context.placement().onNotPrimary(held.instance().instanceId());
            }
            boolean certain = error.isNotRun() || !commit;
            fail(certain ? SqlError.ABORTED : error, held.instance().instanceId(), error + " " + result.detail());
        }

        private void resend(ConnectionLease held) {
            if (held.connection().isOpen() && !completed && !ended) {
                send(held);
            } else {
                onResult(held, null, new FailureException(FailureType.CONNECTION_LOST, "closed before a repetition"));
            }
        }

        private void onProof(ConnectionLease held, SqlResult result) {
            LogPosition position = result.position().orElse(LogPosition.NONE);
            context.placement().onProof(held.instance(), sentMs, sentEpoch, position);
        }

        private void fail(SqlError error, String instanceId, String reason) {
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            TransactionState next = commit ? TransactionState.IDLE : TransactionState.FAILED;
            complete(SqlResult.failure(error, "", next), instanceId, reason);
        }

        private void complete(SqlResult result, String instanceId, String reason) {
            if (!completed) {
                completed = true;
                context.record(
                        statement.request().id(), route, instanceId, connectionRequest.arrivedMs, result, reason);
                session.complete(this, result);
            }
        }
    }
}
