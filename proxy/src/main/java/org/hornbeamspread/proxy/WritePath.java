package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.retry.StatementKind;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.Envelopes;

/**
 * One attempt of a write.
 *
 * <p>The write is sent to the primary of a leased view, at the view's term; the database refuses another term. Once the
 * primary has committed it, the attempt waits until a majority holds it ({@link
 * org.hornbeamspread.core.acknowledgement.QuorumTracker}). Then, with no step in between, it checks that the lease is
 * fresh <em>now</em> and that the leased view still has the term, and answers. A proxy that slept anywhere on the way,
 * also between the majority and the answer, finds its lease run out; it waits for a new lease, and acknowledges
 * only if that one still has the term. Owned by the dispatcher's thread.
 */
final class WritePath {
    private static final Duration LEASE_RECHECK = Duration.ofMillis(5);

    /** A departing primary still takes writes for this long, so that a planned promotion leaves no gap. */
    private static final Duration DEPARTURE_GRACE = Duration.ofSeconds(2);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final ClusterMonitor databases;
    private final DatabaseExecutor executor;
    private final InFlightAttempts inFlight;

    /** When a database was first seen departing, by id. */
    private final Map<String, Instant> departingSince = new HashMap<>();

    WritePath(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            ClusterMonitor databases,
            DatabaseExecutor executor,
            InFlightAttempts inFlight) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.databases = databases;
        this.executor = executor;
        this.inFlight = inFlight;
    }

    /** Follows a new view. */
    void view(ViewSnapshot view) {
        for (DatabaseEntry database : view.databases()) {
            if (database.getDeparting()) {
                departingSince.putIfAbsent(
                        database.getDatabaseId(), dispatcher.clock().instant());
            } else {
                departingSince.remove(database.getDatabaseId());
            }
        }
    }

    /** Makes one attempt. Completes on the dispatcher's thread. */
    CompletableFuture<ExecuteResponse> attempt(StatementRequest request) {
        LeasedView leased = publisher.current();
        GroupView group;
        DatabaseEntry primary;
        try {
            group = writableGroup(leased, request.group());
            primary = primary(leased.view(), group);
        } catch (FailureException e) {
            return CompletableFuture.failedFuture(e);
        }
        CompletableFuture<StatementsExecuted> answer =
                executor.execute(leased.view(), primary, request.order(), request.statements(group.getTerm()));
        CompletableFuture<StatementsExecuted> executed = request.kind() == StatementKind.KEYED_WRITE
                ? inFlight.track(group.getGroup(), group.getTerm(), primary, answer)
                : answer;
        return executed.thenCompose(result -> acknowledge(group, result, request.order())
                .thenApply(position -> response(request, group, result, position)));
    }

    /** The group when this proxy may send writes to it. Fails with VIEW_EXPIRED or NO_PRIMARY, not run. */
    GroupView writableGroup(LeasedView leased, String name) {
        GroupView group = leased.view()
                .group(name)
                .orElseThrow(() -> new FailureException(FailureType.NO_PRIMARY, name + " is not in the view"));
        if (!leased.isLeaseValidAt(dispatcher.clock().instant())) {
            throw new FailureException(FailureType.VIEW_EXPIRED, name);
        }
        if (group.getPrimaryId().isEmpty() || !group.getWritable()) {
            throw new FailureException(FailureType.NO_PRIMARY, name);
        }
        return group;
    }

    /** The primary's entry. Fails with NO_PRIMARY, or DEPARTING once the grace is over. */
    DatabaseEntry primary(ViewSnapshot view, GroupView group) {
        DatabaseEntry primary = view.database(group.getPrimaryId())
                .orElseThrow(() -> new FailureException(FailureType.NO_PRIMARY, group.getGroup()));
        Instant since = departingSince.get(primary.getDatabaseId());
        if (since != null && !dispatcher.clock().instant().isBefore(since.plus(DEPARTURE_GRACE))) {
            throw new FailureException(FailureType.DEPARTING, primary.getDatabaseId());
        }
        return primary;
    }

    /** Completes with the write's position when it may be acknowledged; until then nobody may be told of it. */
    CompletableFuture<LogPosition> acknowledge(GroupView group, StatementsExecuted executed, WorkOrder order) {
        LogPosition position = Envelopes.position(executed.getPosition());
        CompletableFuture<LogPosition> result = new CompletableFuture<>();
        if (executed.getTerm() != group.getTerm()) {
            result.completeExceptionally(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "executed at term " + executed.getTerm()));
            return result;
        }
        GroupReplicationState state = databases.groupState(group.getGroup());
        CompletableFuture<Void> held = state.quorum().awaitQuorum(group.getTerm(), position, group.getPrimaryId());
        Dispatcher.Timer timer = dispatcher.schedule(remaining(order), () -> {
            state.quorum().cancel(held);
            result.completeExceptionally(new FailureException(FailureType.NO_QUORUM_IN_TIME, group.getGroup()));
        });
        held.whenComplete((nothing, error) -> {
            timer.cancel();
            if (error != null) {
                result.completeExceptionally(FailureException.of(error));
            } else {
                confirmUnderLease(group, position, order, result);
            }
        });
        return result;
    }

    private void confirmUnderLease(
            GroupView group, LogPosition position, WorkOrder order, CompletableFuture<LogPosition> result) {
        Instant now = dispatcher.clock().instant();
        LeasedView leased = publisher.current();
        if (leased.canAcknowledgeWrite(group.getGroup(), group.getTerm(), now)) {
            result.complete(position);
            return;
        }
        long termNow =
                leased.view().group(group.getGroup()).map(GroupView::getTerm).orElse(Long.MAX_VALUE);
        if (termNow != group.getTerm()) {
            result.completeExceptionally(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "term " + group.getTerm() + ", now " + termNow));
        } else if (!now.isBefore(order.deadline())) {
            result.completeExceptionally(new FailureException(FailureType.LEASE_LOST_AFTER_SEND, group.getGroup()));
        } else {
            dispatcher.schedule(LEASE_RECHECK, () -> confirmUnderLease(group, position, order, result));
        }
    }

    private Duration remaining(WorkOrder order) {
        Duration remaining = Duration.between(dispatcher.clock().instant(), order.deadline());
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private static ExecuteResponse response(
            StatementRequest request, GroupView group, StatementsExecuted executed, LogPosition position) {
        return ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .addAllResults(executed.getResultsList())
                .setSessionToken(
                        request.token().withWrite(group.getGroup(), position).encode())
                .setReplayed(executed.getReplayed())
                .setDatabaseId(group.getPrimaryId())
                .build();
    }
}
