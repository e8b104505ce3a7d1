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
 * A read or write outside of a transaction. A read is tried again elsewhere after any failure; a write only after one that
 * proves that it did not run. The reads of primary routes run inside a plain transaction of the proxy's own, which a database
 * that has lost the lead refuses.
 */
final class SingleStatement implements Operation, Unit.Owner {
    private final SessionContext context;
    private final ClientSession session;
    private final Route route;
    private final ForwardedStatement statement;
    private final Unit unit;
    private Optional<Lease> lease = Optional.empty();
    private long sentMs;
    private long sentEpoch;
    private boolean sent;
    private boolean timedOut;
    private boolean ended;

    SingleStatement(SessionContext context, ClientSession session, Route route, ForwardedStatement statement) {
        this.context = context;
        this.session = session;
        this.route = route;
        this.statement = statement;
        this.unit = new Unit(
                context.nextUnitId(),
                statement.request().id(),
                route,
                isWrite() || route.kind() == RouteKind.PRIMARY,
                session.floor(route.service()),
                session.values(),
                context.nowMs(),
                context.startByMs(route),
                this);
    }

    @Override
    public void start() {
        context.placement().route(unit);
    }

    @Override
    public void onTimeout() {
        timedOut = true;
        if (lease.isPresent() && sent) {
            lease.get().discard();
        } else {
            lease.ifPresent(Lease::discard);
            unit.cancel();
            onRefused(RefusalReason.NOT_SENT_IN_TIME);
        }
    }

    @Override
    public void abandon() {
        ended = true;
        if (lease.isEmpty()) {
            unit.cancel();
        }
    }

    @Override
    public void onRefused(RefusalReason reason) {
        context.onRefused(reason);
        end(SqlResult.failure(SqlError.BUSY, "", TransactionState.IDLE), "", reason.name());
    }

    @Override
    public void onLease(Lease granted) {
        if (ended) {
            granted.release();
            return;
        }
        lease = Optional.of(granted);
        if (!isWrite()) {
            granted.setRepeatable(true);
        }
        sentMs = context.nowMs();
        sentEpoch = context.epoch();
        sent = false;
        if (isWrite()) {
            send(granted, statement.request(), List.of());
        } else if (unit.after.isPresent()) {
            send(granted, statement.request().requiringPosition(unit.after.get()), List.of());
        } else {
            beginGuard(granted);
        }
    }

    private boolean isWrite() {
        return statement.kind() == ForwardedStatement.Kind.WRITE;
    }

    private void beginGuard(Lease granted) {
        granted.connection()
                .send(List.of(SqlRequest.internal(new SqlStatement.Begin(false))))
                .get(0)
                .whenComplete((begun, error) -> {
                    if (error != null || !begun.isSuccess()) {
                        onResult(granted, begun, error);
                    } else {
                        onProof(granted, begun);
                        if (ended) {
                            granted.discard();
                            return;
                        }
                        SqlRequest rollBack = SqlRequest.internal(new SqlStatement.Rollback());
                        send(granted, statement.request(), List.of(rollBack));
                    }
                });
    }

    private void send(Lease granted, SqlRequest request, List<SqlRequest> behind) {
        StatementRun.send(
                granted,
                session,
                request,
                statement.shape().orElse(null),
                behind,
                route.priority(),
                () -> onSend(granted),
                (result, error) -> onResult(granted, result, error));
    }

    private boolean onSend(Lease granted) {
        if (ended) {
            granted.discard();
            return false;
        }
        if (isWrite() && !granted.link().isReachable()) {
            granted.discard();
            lease = Optional.empty();
            onLost(granted.instance().instanceId(), new FailureException(FailureType.CONNECTION_LOST, "silent"));
            return false;
        }
        sent = granted.connection().isOpen();
        sentMs = context.nowMs();
        sentEpoch = context.epoch();
        if (isWrite()) {
            context.placement()
                    .serviceState(route.service())
                    .pendingWriteSentAtMs
                    .put(unit.id, sentMs);
        }
        return true;
    }

    private void onResult(Lease granted, SqlResult result, Throwable error) {
        context.placement().serviceState(route.service()).pendingWriteSentAtMs.remove(unit.id);
        lease = Optional.empty();
        String instanceId = granted.instance().instanceId();
        if (error != null) {
            granted.discard();
            onLost(instanceId, FailureException.of(error));
            return;
        }
        boolean guarded = !isWrite() && unit.after.isEmpty();
        if (result.state() == TransactionState.IDLE || (guarded && result.isSuccess())) {
            granted.release();
        } else {
            granted.discard();
        }
        granted.link().recordServiceTime(context.nowMs() - sentMs);
        if (result.isSuccess()) {
            onSuccess(granted, result);
        } else {
            onError(granted, result);
        }
    }

    private void onSuccess(Lease granted, SqlResult result) {
        if (isWrite()) {
            onProof(granted, result);
            result.position().ifPresent(position -> session.raiseFloor(route.service(), position));
        }
        end(result.withState(TransactionState.IDLE), granted.instance().instanceId(), "");
    }

    private void onProof(Lease granted, SqlResult result) {
        LogPosition position = result.position().orElse(LogPosition.NONE);
        context.placement().onPrimaryProof(granted.instance(), sentMs, sentEpoch, position);
    }

    private void onError(Lease granted, SqlResult result) {
        SqlError error = result.error().orElseThrow();
        String instanceId = granted.instance().instanceId();
        if (error == SqlError.READ_ONLY) {
            context.placement().onNotPrimary(instanceId);
        } else if (error == SqlError.REPLICA_LAGGING) {
            granted.link().onLagging(Math.max(1, route.maxStalenessMs() / 4));
        }
        unit.tried.add(instanceId);
        boolean repeatable = error.isNotRun() || !isWrite();
        if (repeatable && error != SqlError.MALFORMED && !timedOut && !ended) {
            context.placement().retry(unit, RetryReason.of(error));
        } else {
            end(result.withState(TransactionState.IDLE), instanceId, result.detail());
        }
    }

    private void onLost(String instanceId, FailureException failure) {
        unit.tried.add(instanceId);
        if ((!isWrite() || !sent) && !timedOut && !ended) {
            context.placement().retry(unit, RetryReason.CONNECTION_LOST);
            return;
        }
        SqlError lost = isWrite() ? SqlError.IN_DOUBT : SqlError.TIMEOUT;
        SqlError error = sent ? lost : SqlError.BUSY;
        String reason = timedOut ? "no answer within " + route.statementTimeoutMs() + " ms" : failure.getMessage();
        end(SqlResult.failure(error, "", TransactionState.IDLE), instanceId, reason);
    }

    private void end(SqlResult result, String instanceId, String reason) {
        if (!ended) {
            ended = true;
            context.record(statement.request().id(), route, instanceId, unit.arrivedMs, result, reason);
            session.finish(this, result);
        }
    }
}
