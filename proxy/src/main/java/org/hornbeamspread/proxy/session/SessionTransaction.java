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
    private Optional<Lease> lease = Optional.empty();

    /** Whether the connection's transaction is open. */
    private boolean begun;

    private boolean wrote;
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

    Operation operation(ForwardedStatement statement) {
        return new InTransaction(statement);
    }

    /** Ends it without keeping anything; to be called while no statement runs, or when the client has gone. */
    void rollBack() {
        ended = true;
        if (lease.isEmpty()) {
            return;
        }
        Lease held = lease.get();
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
        lease.ifPresent(Lease::discard);
    }

    private boolean isPrimaryOnly() {
        return !readOnly || route.kind() == RouteKind.PRIMARY;
    }

    /** One statement of the transaction. */
    private final class InTransaction implements Operation, Unit.Owner {
        /** Before a statement that the database had no capacity for is sent again on its connection. */
        private static final long BUSY_RETRY_MS = 20;

        private final ForwardedStatement statement;
        private final Unit unit;
        private long sentMs;
        private long sentEpoch;
        private boolean sent;
        private boolean timedOut;
        private boolean over;

        InTransaction(ForwardedStatement statement) {
            this.statement = statement;
            this.unit = new Unit(
                    context.nextUnitId(),
                    statement.request().id(),
                    route,
                    isPrimaryOnly(),
                    session.floor(route.service()),
                    session.values(),
                    context.nowMs(),
                    context.startByMs(route),
                    this);
        }

        @Override
        public void start() {
            if (readOnly && statement.kind() == ForwardedStatement.Kind.WRITE) {
                context.onRefused(RefusalReason.READ_ONLY_TRANSACTION);
                end(SqlError.READ_ONLY, "", RefusalReason.READ_ONLY_TRANSACTION.name());
            } else if (lease.isPresent()) {
                send(lease.get());
            } else {
                context.placement().route(unit);
            }
        }

        @Override
        public void onTimeout() {
            timedOut = true;
            if (lease.isPresent() && sent) {
                lease.get().discard();
                return;
            }
            lease.ifPresent(Lease::discard);
            lease = Optional.empty();
            unit.cancel();
            onRefused(RefusalReason.NOT_SENT_IN_TIME);
        }

        @Override
        public void abandon() {
            over = true;
            unit.cancel();
            // A commit that was sent runs to its end; anything else is rolled back behind the statement that runs.
        }

        @Override
        public void onRefused(RefusalReason reason) {
            context.onRefused(reason);
            end(SqlError.BUSY, "", reason.name());
        }

        @Override
        public void onLease(Lease granted) {
            if (over || ended) {
                granted.release();
                return;
            }
            lease = Optional.of(granted);
            sentMs = context.nowMs();
            sentEpoch = context.epoch();
            granted.setRepeatable(true);
            boolean plain = unit.after.isEmpty();
            SqlRequest begin = SqlRequest.internal(new SqlStatement.Begin(!plain));
            granted.connection()
                    .send(List.of(plain ? begin : begin.requiringPosition(unit.after.get())))
                    .get(0)
                    .whenComplete((result, error) -> onBegun(granted, plain, result, error));
        }

        private void onBegun(Lease granted, boolean plain, SqlResult result, Throwable error) {
            if (error == null && result.isSuccess()) {
                begun = true;
                granted.setRepeatable(false);
                if (plain) {
                    onProof(granted, result);
                }
                if (over || ended) {
                    rollBack();
                } else {
                    send(granted);
                }
                return;
            }
            lease = Optional.empty();
            unit.tried.add(granted.instance().instanceId());
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
                end(SqlError.ABORTED, granted.instance().instanceId(), "no answer to BEGIN in time");
            } else if (!over && !ended) {
                context.placement()
                        .retry(
                                unit,
                                error == null
                                        ? RetryReason.of(result.error().orElseThrow())
                                        : RetryReason.CONNECTION_LOST);
            }
        }

        private void send(Lease held) {
            StatementRun.send(
                    held,
                    session,
                    statement.request(),
                    statement.shape().orElse(null),
                    List.of(),
                    route.priority(),
                    () -> onSend(held),
                    (result, error) -> onResult(held, result, error));
        }

        private boolean onSend(Lease held) {
            if (over || ended || lease.filter(held::equals).isEmpty()) {
                return false;
            }
            sent = held.connection().isOpen();
            sentMs = context.nowMs();
            sentEpoch = context.epoch();
            if (statement.kind() != ForwardedStatement.Kind.READ) {
                context.placement()
                        .serviceState(route.service())
                        .pendingWriteSentAtMs
                        .put(unit.id, sentMs);
            }
            return true;
        }

        private void onResult(Lease held, SqlResult result, Throwable error) {
            context.placement()
                    .serviceState(route.service())
                    .pendingWriteSentAtMs
                    .remove(unit.id);
            String instanceId = held.instance().instanceId();
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            if (error != null) {
                held.discard();
                lease = Optional.empty();
                if (over) {
                    return;
                }
                String reason = timedOut
                        ? "no answer within " + route.statementTimeoutMs() + " ms"
                        : FailureException.of(error).getMessage();
                end(commit && sent ? SqlError.IN_DOUBT : SqlError.ABORTED, instanceId, reason);
                return;
            }
            held.link().recordServiceTime(context.nowMs() - sentMs);
            if (over && !commit) {
                return;
            }
            if (!result.isSuccess()) {
                onError(held, result, commit);
                return;
            }
            if (statement.kind() == ForwardedStatement.Kind.WRITE) {
                wrote = true;
            }
            if (!commit) {
                if (isPrimaryOnly()) {
                    onProof(held, result);
                }
                finish(result.withState(TransactionState.OPEN), instanceId, "");
                return;
            }
            lease = Optional.empty();
            if (result.state() == TransactionState.IDLE) {
                held.release();
            } else {
                held.discard();
            }
            if (wrote) {
                onProof(held, result);
                result.position().ifPresent(position -> session.raiseFloor(route.service(), position));
            }
            finish(result.withState(TransactionState.IDLE), instanceId, "");
        }

        private void onError(Lease held, SqlResult result, boolean commit) {
            if (result.hasError(SqlError.BUSY) && result.state() == TransactionState.OPEN && !timedOut && !ended) {
                context.onRetry(RetryReason.BUSY);
                context.schedule(() -> sendAgain(held), BUSY_RETRY_MS);
                return;
            }
            lease = Optional.empty();
            held.discard();
            SqlError error = result.error().orElseThrow();
            if (error == SqlError.READ_ONLY) {
                context.placement().onNotPrimary(held.instance().instanceId());
            }
            boolean certain = error.isNotRun() || !commit;
            end(certain ? SqlError.ABORTED : error, held.instance().instanceId(), error + " " + result.detail());
        }

        private void sendAgain(Lease held) {
            if (held.connection().isOpen() && !over && !ended) {
                send(held);
            } else {
                onResult(held, null, new FailureException(FailureType.CONNECTION_LOST, "closed before a repetition"));
            }
        }

        private void onProof(Lease held, SqlResult result) {
            LogPosition position = result.position().orElse(LogPosition.NONE);
            context.placement().onPrimaryProof(held.instance(), sentMs, sentEpoch, position);
        }

        private void end(SqlError error, String instanceId, String reason) {
            boolean commit = statement.kind() == ForwardedStatement.Kind.COMMIT;
            TransactionState next = commit ? TransactionState.IDLE : TransactionState.FAILED;
            finish(SqlResult.failure(error, "", next), instanceId, reason);
        }

        private void finish(SqlResult result, String instanceId, String reason) {
            if (!over) {
                over = true;
                context.record(statement.request().id(), route, instanceId, unit.arrivedMs, result, reason);
                session.finish(this, result);
            }
        }
    }
}
