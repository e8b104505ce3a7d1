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
 * Executes reads. {@link ReadRouter} selects the database. After execution, the position of the state that was read is
 * validated against the session's position and the staleness allowance before the response is sent. Confined to the
 * dispatcher's thread.
 */
final class ReadPath {
    private static final Duration MAX_CATCH_UP_WAIT = Duration.ofMillis(20);
    private static final Duration CROSS_REGION_ROUND_TRIP = Duration.ofMillis(16);
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(250);

    private final Dispatcher dispatcher;
    private final ViewPublisher publisher;
    private final ClusterMonitor clusterMonitor;
    private final HeldDatabases heldDatabases;
    private final DatabaseExecutor executor;
    private final InFlightAttempts inFlight;
    private final ProxyMetrics metrics;
    private final String failureDomain;
    private final String region;
    private final ReadRouter router = new ReadRouter(MAX_CATCH_UP_WAIT, CROSS_REGION_ROUND_TRIP);

    ReadPath(
            Dispatcher dispatcher,
            ViewPublisher publisher,
            ClusterMonitor clusterMonitor,
            HeldDatabases heldDatabases,
            DatabaseExecutor executor,
            InFlightAttempts inFlight,
            ProxyMetrics metrics,
            ProxySettings settings) {
        this.dispatcher = dispatcher;
        this.publisher = publisher;
        this.clusterMonitor = clusterMonitor;
        this.heldDatabases = heldDatabases;
        this.executor = executor;
        this.inFlight = inFlight;
        this.metrics = metrics;
        this.failureDomain = settings.failureDomain();
        this.region = settings.region();
    }

    /** Creates a read, which may take several attempts. */
    Read read(StatementRequest request) {
        return new Read(request);
    }

    /** The state that the attempts of one read share. */
    final class Read {
        private final StatementRequest request;
        private final Set<String> failedDatabases = new HashSet<>();

        /** The position that a database must have applied; empty until it has been requested from the primary. */
        private Optional<LogPosition> minPosition;

        private Read(StatementRequest request) {
            this.request = request;
            boolean sessionWithoutToken = request.request().getSessionToken().isEmpty()
                    && !request.request().getSessionId().isEmpty();
            this.minPosition = sessionWithoutToken
                    ? Optional.empty()
                    : request.sessionToken().positionOf(request.group()).map(SessionPosition::minReadPosition);
        }

        /** Executes one attempt. Completes on the dispatcher's thread. */
        CompletableFuture<ExecuteResponse> attempt() {
            if (minPosition.isPresent()) {
                return route(minPosition.get(), true);
            }
            return clusterMonitor.requestPrimaryPosition(request.group()).thenCompose(position -> {
                minPosition = Optional.of(position);
                return route(position, true);
            });
        }

        private CompletableFuture<ExecuteResponse> route(LogPosition position, boolean mayWait) {
            ViewSnapshot view = publisher.current().view();
            Optional<GroupView> group = view.group(request.group());
            if (group.isEmpty()) {
                return failed(FailureType.NO_PRIMARY, request.group() + " is not in the view");
            }
            ReadDecision decision =
                    router.decide(candidates(group.get()), position, request.stalenessAllowance(), mayWait);
            if (decision instanceof ReadDecision.Replica replica) {
                return execute(view, group.get(), replica.databaseId());
            }
            if (decision instanceof ReadDecision.Primary primary) {
                return execute(view, group.get(), primary.databaseId());
            }
            if (decision instanceof ReadDecision.WaitForReplica wait) {
                return awaitReplica(wait, position).thenCompose(ignored -> route(position, false));
            }
            failedDatabases.clear();
            return failed(((ReadDecision.Refuse) decision).type(), request.group());
        }

        private CompletableFuture<Void> awaitReplica(ReadDecision.WaitForReplica wait, LogPosition position) {
            GroupReplicationState state = clusterMonitor.groupState(request.group());
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
            boolean primaryUnderLease = databaseId.equals(group.getPrimaryId())
                    && publisher.current().isLeaseValidAt(sentAt);
            CompletableFuture<StatementsExecuted> response =
                    executor.execute(view, database, attemptContext(sentAt), request.statements(0));
            return inFlight.track(group.getGroup(), 0, database, response).handle((executed, error) -> {
                if (error != null) {
                    failedDatabases.add(databaseId);
                    throw FailureException.of(error);
                }
                return toResponse(
                        group, databaseId, executed, primaryUnderLease ? Optional.of(sentAt) : Optional.empty());
            });
        }

        /**
         * An attempt may take half of the remaining time, so that a database that does not respond leaves time for an attempt
         * at another one. The time is at least {@link #MIN_ATTEMPT_TIME}, and never extends past the request's deadline.
         */
        private RequestContext attemptContext(Instant now) {
            Duration remaining = Duration.between(now, request.context().deadline());
            Duration half = remaining.dividedBy(2);
            Duration limit = half.compareTo(MIN_ATTEMPT_TIME) > 0 ? half : MIN_ATTEMPT_TIME;
            Instant deadline = limit.compareTo(remaining) < 0
                    ? now.plus(limit)
                    : request.context().deadline();
            return new RequestContext(
                    request.context().rank(), request.context().callerId(), deadline);
        }

        private ExecuteResponse toResponse(
                GroupView group, String databaseId, StatementsExecuted executed, Optional<Instant> sentToPrimaryAt) {
            LogPosition state = Envelopes.position(executed.getPosition());
            if (!state.covers(minPosition.orElseThrow())) {
                failedDatabases.add(databaseId);
                throw new FailureException(
                        FailureType.NO_REPLICA_IN_TIME, databaseId + " has not applied the required position");
            }
            boolean isPrimary = sentToPrimaryAt.isPresent() && executed.getTerm() == group.getTerm();
            Instant now = dispatcher.clock().instant();
            Optional<Duration> staleness = isPrimary
                    ? Optional.of(Duration.between(sentToPrimaryAt.get(), now))
                    : clusterMonitor.groupState(group.getGroup()).staleness().upperBound(state, now);
            if (!isPrimary && (staleness.isEmpty() || staleness.get().compareTo(request.stalenessAllowance()) > 0)) {
                failedDatabases.add(databaseId);
                throw new FailureException(
                        FailureType.NO_REPLICA_IN_TIME, databaseId + " may exceed the staleness allowance");
            }
            boolean fromReplica = !databaseId.equals(group.getPrimaryId());
            metrics.countRead(fromReplica);
            return ExecuteResponse.newBuilder()
                    .setEffect(Effect.DONE)
                    .addAllResults(executed.getResultsList())
                    .setSessionToken(request.sessionToken()
                            .withRead(group.getGroup(), state)
                            .encode())
                    .setDatabaseId(databaseId)
                    .setFromReplica(fromReplica)
                    .setAgeBoundMs((int) staleness.orElseThrow().toMillis())
                    .build();
        }

        /**
         * The databases of a group as candidates. Without a valid lease the primary may have been replaced; it is then
         * treated as a replica, whose staleness must be bounded.
         */
        private List<ReadCandidate> candidates(GroupView group) {
            GroupReplicationState state = clusterMonitor.groupState(group.getGroup());
            Instant now = dispatcher.clock().instant();
            boolean leaseValid = publisher.current().isLeaseValidAt(now);
            List<ReadCandidate> candidates = new ArrayList<>();
            for (DatabaseEntry database : group.getDatabasesList()) {
                LogPosition applied = state.appliedPosition(database.getDatabaseId());
                candidates.add(new ReadCandidate(
                        database.getDatabaseId(),
                        leaseValid && database.getDatabaseId().equals(group.getPrimaryId()),
                        isUsable(database),
                        Proximity.of(failureDomain, region, database.getFailureDomain(), database.getRegion()),
                        applied,
                        state.staleness().upperBound(applied, now),
                        state.lag(database.getDatabaseId()).typicalLag(now),
                        heldDatabases.pendingStatements(database.getDatabaseId())));
            }
            return candidates;
        }

        private boolean isUsable(DatabaseEntry database) {
            return !database.getDeparting()
                    && !failedDatabases.contains(database.getDatabaseId())
                    && !database.getHolderProxyId().isEmpty()
                    && clusterMonitor
                            .monitor(database.getDatabaseId())
                            .filter(DatabaseMonitor::isConnected)
                            .isPresent()
                    && heldDatabases.mayRead(database);
        }
    }

    private static <T> CompletableFuture<T> failed(FailureType type, String detail) {
        return CompletableFuture.failedFuture(new FailureException(type, detail));
    }
}
