package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.routing.Proximity;
import org.hornbeamspread.core.routing.ReadCandidate;
import org.hornbeamspread.core.routing.ReadDecision;
import org.hornbeamspread.core.routing.ReadRouter;
import org.hornbeamspread.core.session.SessionPosition;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.StatementsExecuted;
import org.hornbeamspread.transport.Envelopes;

/**
 * Reads: chooses a database by {@link ReadRouter}, runs the statements there, and checks the state that was really read
 * against the session's position and the allowance before it answers. Owned by the dispatcher's thread.
 */
final class ReadPath {
    private static final Duration CATCH_UP_WAIT = Duration.ofMillis(20);
    private static final Duration REGION_ROUND_TRIP = Duration.ofMillis(16);
    private static final Duration MIN_ATTEMPT = Duration.ofMillis(250);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final ClusterMonitor databases;
    private final HeldDatabases held;
    private final DatabaseExecutor executor;
    private final InFlightAttempts inFlight;
    private final ProxyMetrics metrics;
    private final String failureDomain;
    private final String region;
    private final ReadRouter router = new ReadRouter(CATCH_UP_WAIT, REGION_ROUND_TRIP);

    ReadPath(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            ClusterMonitor databases,
            HeldDatabases held,
            DatabaseExecutor executor,
            InFlightAttempts inFlight,
            ProxyMetrics metrics,
            ProxySettings settings) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.databases = databases;
        this.held = held;
        this.executor = executor;
        this.inFlight = inFlight;
        this.metrics = metrics;
        this.failureDomain = settings.failureDomain();
        this.region = settings.region();
    }

    /** A read that may take several attempts. */
    Read read(StatementRequest request) {
        return new Read(request);
    }

    /** One read: what its attempts have in common. */
    final class Read {
        private final StatementRequest request;
        private final Set<String> failedDatabases = new HashSet<>();

        /** The position that must have been applied; empty until the primary was asked for it. */
        private Optional<LogPosition> floor;

        private Read(StatementRequest request) {
            this.request = request;
            boolean lostToken = request.request().getSessionToken().isEmpty()
                    && !request.request().getSessionId().isEmpty();
            this.floor = lostToken
                    ? Optional.empty()
                    : request.token().positionOf(request.group()).map(SessionPosition::minReadPosition);
        }

        /** Makes one attempt. Completes on the dispatcher's thread. */
        CompletableFuture<ExecuteResponse> attempt() {
            if (floor.isPresent()) {
                return route(floor.get(), true);
            }
            return databases.requestPrimaryPosition(request.group()).thenCompose(position -> {
                floor = Optional.of(position);
                return route(position, true);
            });
        }

        private CompletableFuture<ExecuteResponse> route(LogPosition position, boolean mayWait) {
            ViewSnapshot view = publisher.current().view();
            Optional<GroupView> group = view.group(request.group());
            if (group.isEmpty()) {
                return failed(FailureType.NO_PRIMARY, request.group() + " is not in the view");
            }
            ReadDecision decision = router.decide(candidates(group.get()), position, request.allowance(), mayWait);
            if (decision instanceof ReadDecision.Replica replica) {
                return execute(view, group.get(), replica.databaseId());
            }
            if (decision instanceof ReadDecision.Primary primary) {
                return execute(view, group.get(), primary.databaseId());
            }
            if (decision instanceof ReadDecision.WaitForReplica wait) {
                return awaitReplica(wait, position).thenCompose(nothing -> route(position, false));
            }
            failedDatabases.clear();
            return failed(((ReadDecision.Refuse) decision).type(), request.group());
        }

        private CompletableFuture<Void> awaitReplica(ReadDecision.WaitForReplica wait, LogPosition position) {
            GroupReplicationState state = databases.groupState(request.group());
            CompletableFuture<Void> applied = state.awaitApplied(wait.databaseId(), position);
            CompletableFuture<Void> result = new CompletableFuture<>();
            Dispatcher.Timer timer = dispatcher.schedule(wait.maxWait(), () -> {
                state.cancelAwaitApplied(applied);
                result.complete(null);
            });
            applied.thenRun(() -> {
                timer.cancel();
                result.complete(null);
            });
            return result;
        }

        private CompletableFuture<ExecuteResponse> execute(ViewSnapshot view, GroupView group, String databaseId) {
            DatabaseEntry database = view.database(databaseId).orElseThrow();
            Instant sentAt = dispatcher.clock().instant();
            boolean provenPrimary = databaseId.equals(group.getPrimaryId())
                    && publisher.current().isLeaseValidAt(sentAt);
            CompletableFuture<StatementsExecuted> answer =
                    executor.execute(view, database, attemptOrder(sentAt), request.statements(0));
            return inFlight.track(group.getGroup(), 0, database, answer).handle((executed, error) -> {
                if (error != null) {
                    failedDatabases.add(databaseId);
                    throw FailureException.of(error);
                }
                return answer(group, databaseId, executed, provenPrimary ? Optional.of(sentAt) : Optional.empty());
            });
        }

        /** Half the time left, so that a database that does not answer leaves time for another one. */
        private WorkOrder attemptOrder(Instant now) {
            Duration remaining = Duration.between(now, request.order().deadline());
            Duration half = remaining.dividedBy(2);
            Duration limit = half.compareTo(MIN_ATTEMPT) > 0 ? half : MIN_ATTEMPT;
            Instant deadline = limit.compareTo(remaining) < 0
                    ? now.plus(limit)
                    : request.order().deadline();
            return new WorkOrder(request.order().rank(), request.order().callerId(), deadline);
        }

        private ExecuteResponse answer(
                GroupView group, String databaseId, StatementsExecuted executed, Optional<Instant> askedPrimaryAt) {
            LogPosition state = Envelopes.position(executed.getPosition());
            if (!state.covers(floor.orElseThrow())) {
                failedDatabases.add(databaseId);
                throw new FailureException(FailureType.NO_REPLICA_IN_TIME, databaseId + " is behind the session");
            }
            boolean isPrimary = askedPrimaryAt.isPresent() && executed.getTerm() == group.getTerm();
            Instant now = dispatcher.clock().instant();
            Optional<Duration> age = isPrimary
                    ? Optional.of(Duration.between(askedPrimaryAt.get(), now))
                    : databases.groupState(group.getGroup()).staleness().upperBound(state, now);
            if (!isPrimary && (age.isEmpty() || age.get().compareTo(request.allowance()) > 0)) {
                failedDatabases.add(databaseId);
                throw new FailureException(FailureType.NO_REPLICA_IN_TIME, databaseId + " may be too old");
            }
            boolean fromReplica = !databaseId.equals(group.getPrimaryId());
            metrics.readServed(fromReplica);
            return ExecuteResponse.newBuilder()
                    .setEffect(Effect.DONE)
                    .addAllResults(executed.getResultsList())
                    .setSessionToken(
                            request.token().withRead(group.getGroup(), state).encode())
                    .setDatabaseId(databaseId)
                    .setFromReplica(fromReplica)
                    .setAgeBoundMs((int) age.orElseThrow().toMillis())
                    .build();
        }

        /** Without a fresh lease the primary may have been replaced; it then counts as a replica of a proven age. */
        private List<ReadCandidate> candidates(GroupView group) {
            GroupReplicationState state = databases.groupState(group.getGroup());
            Instant now = dispatcher.clock().instant();
            boolean leaseFresh = publisher.current().isLeaseValidAt(now);
            List<ReadCandidate> candidates = new ArrayList<>();
            for (DatabaseEntry database : group.getDatabasesList()) {
                LogPosition applied = state.appliedPosition(database.getDatabaseId());
                candidates.add(new ReadCandidate(
                        database.getDatabaseId(),
                        leaseFresh && database.getDatabaseId().equals(group.getPrimaryId()),
                        isUsable(database),
                        Proximity.of(failureDomain, region, database.getFailureDomain(), database.getRegion()),
                        applied,
                        state.staleness().upperBound(applied, now),
                        state.lag(database.getDatabaseId()).typicalLag(now),
                        held.pendingStatements(database.getDatabaseId())));
            }
            return candidates;
        }

        private boolean isUsable(DatabaseEntry database) {
            return !database.getDeparting()
                    && !failedDatabases.contains(database.getDatabaseId())
                    && !database.getHolderProxyId().isEmpty()
                    && databases
                            .monitor(database.getDatabaseId())
                            .filter(DatabaseMonitor::isConnected)
                            .isPresent()
                    && held.mayRead(database);
        }
    }

    private static <T> CompletableFuture<T> failed(FailureType type, String detail) {
        return CompletableFuture.failedFuture(new FailureException(type, detail));
    }
}
