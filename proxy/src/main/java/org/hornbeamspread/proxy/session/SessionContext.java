package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hornbeamspread.core.admission.ClientMemoryBudget;
import org.hornbeamspread.core.admission.ReturnTimes;
import org.hornbeamspread.core.failover.CommitTracker;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlResult;

/** Services and state shared by the sessions of an engine. Confined to the engine's thread. */
final class SessionContext {
    /** Longest wait for a connection as a fraction of the target time; after a longer wait a response in time is unlikely. */
    private static final double MAX_WAIT_FRACTION_OF_TARGET = 0.5;

    private static final long MIN_CONNECTION_WAIT_MS = 50;

    /** The reason of results that are not acknowledged since the primary may be about to be replaced. */
    static final String SEALED = "the primary may be about to be replaced";

    private final StatementRouter router;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final SessionMetrics metrics;
    private final CallerAuthenticator authenticator;
    private final QuotaGate quotas;
    private final ClientMemoryBudget clientMemory;
    private final java.util.function.Consumer<ClientSession> sessionRemover;
    private final ReturnTimes<RefusedGroup> returnTimes;
    private long nextConnectionRequestId = 1;

    /** Requests that wait in the same queues. */
    private record RefusedGroup(String service, String rank, String workspace) {}

    SessionContext(
            StatementRouter router,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            ScheduledExecutorService executor,
            EventLog events,
            SessionMetrics metrics,
            CallerAuthenticator authenticator,
            QuotaGate quotas,
            RandomGenerator random,
            ClientMemoryBudget clientMemory,
            java.util.function.Consumer<ClientSession> sessionRemover) {
        this.router = router;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
        this.executor = executor;
        this.events = events;
        this.metrics = metrics;
        this.authenticator = authenticator;
        this.quotas = quotas;
        this.returnTimes = new ReturnTimes<>(random);
        this.clientMemory = clientMemory;
        this.sessionRemover = sessionRemover;
    }

    CallerAuthenticator authenticator() {
        return authenticator;
    }

    QuotaGate quotas() {
        return quotas;
    }

    ClientMemoryBudget clientMemory() {
        return clientMemory;
    }

    StatementRouter router() {
        return router;
    }

    SystemView view() {
        return router.view();
    }

    EventLog events() {
        return events;
    }

    long nowMs() {
        return clock.millis();
    }

    long clockEpoch() {
        return clockJumpDetector.epoch();
    }

    long nextConnectionRequestId() {
        return nextConnectionRequestId++;
    }

    /** The latest time at which a statement that arrives now may get a connection. */
    long startDeadlineMs(Route route) {
        long targetMs = route.targetMs() > 0 ? route.targetMs() : route.statementTimeoutMs();
        long maxWaitMs = Math.max(MIN_CONNECTION_WAIT_MS, Math.round(MAX_WAIT_FRACTION_OF_TARGET * targetMs));
        return nowMs() + Math.min(maxWaitMs, route.statementTimeoutMs());
    }

    ScheduledFuture<?> schedule(Runnable task, long delayMs) {
        return executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void removeSession(ClientSession session) {
        sessionRemover.accept(session);
    }

    /** Whether a commit that has succeeded may be acknowledged to the caller. */
    boolean acknowledges(Route route, CommitTracker.SentCommit sentCommit, SqlResult result) {
        CommitTracker commits = router.serviceState(route.service()).commits;
        return result.position()
                .map(position -> commits.onSuccess(sentCommit, position))
                .orElse(true);
    }

    /** The detail of a refusal that tells the client when to return. */
    static String retryAfter(long retryAfterMs) {
        return "retry after " + retryAfterMs + " ms";
    }

    /** The detail of the refusal of a request by the queues of databases; empty where the configuration has no workspaces. */
    String refusalDetail(ConnectionRequest request, RefusalReason reason) {
        boolean queueRefusal = reason == RefusalReason.QUEUE_FULL || reason == RefusalReason.WAIT_TOO_LONG;
        if (!queueRefusal || !view().requiresKeys() || request.earliestReturn.isEmpty()) {
            return "";
        }
        RefusedGroup group = new RefusedGroup(
                request.route.service(), request.rank(), request.share().workspace());
        Duration returnTime =
                returnTimes.next(group, request.earliestReturn.get(), request.serviceInterval(), clock.instant());
        return retryAfter(returnTime.toMillis());
    }

    /** Counts a commit that a seal turned into an error. */
    void onSealed(SqlError error) {
        metrics.onSealed(error);
    }

    /** Counts a refusal. */
    void onRefused(RefusalReason reason) {
        metrics.onRefused(reason);
    }

    /** Counts a retry. */
    void onRetry(RetryReason reason) {
        metrics.onRetry(reason);
    }

    /** Counts the result of a request and logs it; successful requests are sampled for the log. */
    void record(String requestId, Route route, String instanceId, long arrivedMs, SqlResult result, String reason) {
        long elapsedMs = nowMs() - arrivedMs;
        metrics.onResponse(route, result, elapsedMs);
        if (result.isSuccess() && !metrics.sampleNext()) {
            return;
        }
        events.record(
                result.isSuccess() ? "request_served" : "request_failed",
                "id",
                requestId,
                "database",
                route.database(),
                "service",
                route.service(),
                "instance",
                instanceId,
                "configuration",
                view().configuration().version(),
                "elapsed_ms",
                elapsedMs,
                "outcome",
                result.error().map(Enum::name).orElse("DONE"),
                "reason",
                reason);
    }
}
