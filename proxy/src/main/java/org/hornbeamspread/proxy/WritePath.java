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
 * Executes write attempts.
 *
 * <p>A write is sent to the primary of a leased view, at the view's term; the database refuses any other term. Once the
 * primary has committed the write, the attempt waits until a majority of the group holds it ({@link
 * org.hornbeamspread.core.acknowledgement.QuorumTracker}). The attempt then checks that the lease is valid <em>now</em>
 * and that the leased view still has the term, and responds with no step in between. If the process was paused
 * beyond the end of the lease at any point, also between the majority and the response, this check finds the lease
 * expired. The attempt then waits for a new lease, and acknowledges the write only if the leased view still has the term
 * then. Confined to the dispatcher's thread.
 */
final class WritePath {
    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(5);

    /** How long a departing primary still accepts writes, so that a planned promotion causes no unavailability. */
    private static final Duration DEPARTURE_GRACE_PERIOD = Duration.ofSeconds(2);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final ClusterMonitor clusterMonitor;
    private final DatabaseExecutor executor;
    private final InFlightAttempts inFlight;

    /** The time of the first view in which a database was departing, by database id. */
    private final Map<String, Instant> departingSince = new HashMap<>();

    WritePath(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            ClusterMonitor clusterMonitor,
            DatabaseExecutor executor,
            InFlightAttempts inFlight) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.clusterMonitor = clusterMonitor;
        this.executor = executor;
        this.inFlight = inFlight;
    }

    /** Updates the departure times from a new view. */
    void updateView(ViewSnapshot view) {
        for (DatabaseEntry database : view.databases()) {
            if (database.getDeparting()) {
                departingSince.putIfAbsent(
                        database.getDatabaseId(), dispatcher.clock().instant());
            } else {
                departingSince.remove(database.getDatabaseId());
            }
        }
    }

    /** Executes one attempt. Completes on the dispatcher's thread. */
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
        CompletableFuture<StatementsExecuted> response =
                executor.execute(leased.view(), primary, request.context(), request.statements(group.getTerm()));
        CompletableFuture<StatementsExecuted> executed = request.kind() == StatementKind.KEYED_WRITE
                ? inFlight.track(group.getGroup(), group.getTerm(), primary, response)
                : response;
        return executed.thenCompose(result -> acknowledge(group, result, request.context())
                .thenApply(position -> response(request, group, result, position)));
    }

    /** The view of a group to which this proxy may send writes. Fails with VIEW_EXPIRED or NO_PRIMARY; nothing has run. */
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

    /** The primary's entry. Fails with NO_PRIMARY, or with DEPARTING after the grace period. */
    DatabaseEntry primary(ViewSnapshot view, GroupView group) {
        DatabaseEntry primary = view.database(group.getPrimaryId())
                .orElseThrow(() -> new FailureException(FailureType.NO_PRIMARY, group.getGroup()));
        Instant departingAt = departingSince.get(primary.getDatabaseId());
        if (departingAt != null && !dispatcher.clock().instant().isBefore(departingAt.plus(DEPARTURE_GRACE_PERIOD))) {
            throw new FailureException(FailureType.DEPARTING, primary.getDatabaseId());
        }
        return primary;
    }

    /** Completes with the write's position once the write may be acknowledged; no response may be sent before that. */
    CompletableFuture<LogPosition> acknowledge(GroupView group, StatementsExecuted executed, RequestContext context) {
        LogPosition position = Envelopes.position(executed.getPosition());
        CompletableFuture<LogPosition> result = new CompletableFuture<>();
        if (executed.getTerm() != group.getTerm()) {
            result.completeExceptionally(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "executed at term " + executed.getTerm()));
            return result;
        }
        GroupReplicationState state = clusterMonitor.groupState(group.getGroup());
        CompletableFuture<Void> quorumReached =
                state.quorum().awaitQuorum(group.getTerm(), position, group.getPrimaryId());
        Dispatcher.Timer timer = dispatcher.schedule(remaining(context), () -> {
            state.quorum().cancel(quorumReached);
            result.completeExceptionally(new FailureException(FailureType.NO_QUORUM_IN_TIME, group.getGroup()));
        });
        quorumReached.whenComplete((ignored, error) -> {
            timer.cancel();
            if (error != null) {
                result.completeExceptionally(FailureException.of(error));
            } else {
                completeUnderLease(group, position, context, result);
            }
        });
        return result;
    }

    private void completeUnderLease(
            GroupView group, LogPosition position, RequestContext context, CompletableFuture<LogPosition> result) {
        Instant now = dispatcher.clock().instant();
        LeasedView leased = publisher.current();
        if (leased.canAcknowledgeWrite(group.getGroup(), group.getTerm(), now)) {
            result.complete(position);
            return;
        }
        long currentTerm =
                leased.view().group(group.getGroup()).map(GroupView::getTerm).orElse(Long.MAX_VALUE);
        if (currentTerm != group.getTerm()) {
            result.completeExceptionally(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "term " + group.getTerm() + ", current term " + currentTerm));
        } else if (!now.isBefore(context.deadline())) {
            result.completeExceptionally(new FailureException(FailureType.LEASE_LOST_AFTER_SEND, group.getGroup()));
        } else {
            dispatcher.schedule(LEASE_CHECK_INTERVAL, () -> completeUnderLease(group, position, context, result));
        }
    }

    private Duration remaining(RequestContext context) {
        Duration remaining = Duration.between(dispatcher.clock().instant(), context.deadline());
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private static ExecuteResponse response(
            StatementRequest request, GroupView group, StatementsExecuted executed, LogPosition position) {
        return ExecuteResponse.newBuilder()
                .setEffect(Effect.DONE)
                .addAllResults(executed.getResultsList())
                .setSessionToken(request.sessionToken()
                        .withWrite(group.getGroup(), position)
                        .encode())
                .setReplayed(executed.getReplayed())
                .setDatabaseId(group.getPrimaryId())
                .build();
    }
}
