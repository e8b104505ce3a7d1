package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.sql.SqlResult;

/** What the sessions of an engine share. Used on the engine's thread. */
final class SessionContext {
    /** Of an operation's target: waiting longer for a connection makes an answer in time unlikely. */
    private static final double MAX_WAIT_FRACTION_OF_TARGET = 0.5;

    private static final long MIN_CONNECTION_WAIT_MS = 50;

    private final Placement placement;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final SessionMetrics metrics;
    private final java.util.function.Consumer<ClientSession> sessionRemover;
    private long nextConnectionRequestId = 1;

    SessionContext(
            Placement placement,
            Clock clock,
            ClockJumpDetector guard,
            ScheduledExecutorService loop,
            EventLog events,
            SessionMetrics metrics,
            java.util.function.Consumer<ClientSession> forget) {
        this.placement = placement;
        this.clock = clock;
        this.clockJumpDetector = guard;
        this.executor = loop;
        this.events = events;
        this.metrics = metrics;
        this.sessionRemover = forget;
    }

    Placement placement() {
        return placement;
    }

    SystemView view() {
        return placement.view();
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

    /** The latest time to start a statement that arrived now. */
    long startDeadlineMs(Route route) {
        long targetMs = route.targetMs() > 0 ? route.targetMs() : route.statementTimeoutMs();
        long patienceMs = Math.max(MIN_CONNECTION_WAIT_MS, Math.round(MAX_WAIT_FRACTION_OF_TARGET * targetMs));
        return nowMs() + Math.min(patienceMs, route.statementTimeoutMs());
    }

    ScheduledFuture<?> schedule(Runnable task, long delayMs) {
        return executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void removeSession(ClientSession session) {
        sessionRemover.accept(session);
    }

    /** Counts a refusal. */
    void onRefused(RefusalReason reason) {
        metrics.onRefused(reason);
    }

    /** Counts a repetition. */
    void onRetry(RetryReason reason) {
        metrics.onRetry(reason);
    }

    /** One line and one count for what a request came to. */
    void record(String requestId, Route route, String instanceId, long arrivedMs, SqlResult result, String reason) {
        long elapsedMs = nowMs() - arrivedMs;
        metrics.onAnswer(route, result, elapsedMs);
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
