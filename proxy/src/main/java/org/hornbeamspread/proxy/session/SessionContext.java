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
    private static final double PATIENCE_PART = 0.5;

    private static final long LEAST_PATIENCE_MS = 50;

    private final StatementRouter placement;
    private final Clock clock;
    private final ClockJumpDetector guard;
    private final ScheduledExecutorService loop;
    private final EventLog events;
    private final SessionMetrics metrics;
    private final java.util.function.Consumer<ClientSession> forget;
    private long nextUnitId = 1;

    SessionContext(
            StatementRouter placement,
            Clock clock,
            ClockJumpDetector guard,
            ScheduledExecutorService loop,
            EventLog events,
            SessionMetrics metrics,
            java.util.function.Consumer<ClientSession> forget) {
        this.placement = placement;
        this.clock = clock;
        this.guard = guard;
        this.loop = loop;
        this.events = events;
        this.metrics = metrics;
        this.forget = forget;
    }

    StatementRouter placement() {
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

    long epoch() {
        return guard.epoch();
    }

    long nextUnitId() {
        return nextUnitId++;
    }

    /** The latest time to start a statement that arrived now. */
    long startByMs(Route route) {
        long targetMs = route.targetMs() > 0 ? route.targetMs() : route.statementTimeoutMs();
        long patienceMs = Math.max(LEAST_PATIENCE_MS, Math.round(PATIENCE_PART * targetMs));
        return nowMs() + Math.min(patienceMs, route.statementTimeoutMs());
    }

    ScheduledFuture<?> schedule(Runnable task, long delayMs) {
        return loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    void forget(ClientSession session) {
        forget.accept(session);
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
        if (result.isSuccess() && !metrics.isSampled()) {
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
