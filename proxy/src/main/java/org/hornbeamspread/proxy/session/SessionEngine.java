package org.hornbeamspread.proxy.session;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.sql.SqlConnector;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;

/**
 * The sessions of one proxy. Everything runs on the one thread of the executor: a statement touches sessions, queues and pools
 * in turn, and handing it from thread to thread would cost more than it takes. Other threads call through the executor.
 */
public final class SessionEngine {
    /** Below the two seconds that clients wait for a session to open. */
    private static final long OPEN_TIMEOUT_MS = 1_500;

    private static final long OPEN_RETRY_MS = 50;

    /** Twenty round trips between regions: the question takes no slot. */
    private static final long PROBE_TIMEOUT_MS = 400;

    private static final long SWEEP_INTERVAL_MS = 500;

    /** Two attempts to connect, and a round of all control members. */
    private static final long ISOLATION_THRESHOLD_MS = 1_200;

    /** The part of the grace that open transactions have to end. */
    private static final double TRANSACTION_GRACE_FRACTION = 0.5;

    /** The balancer stops sending new connections after two missed answers, a second apart. */
    private static final long LOAD_BALANCER_DETECTION_MS = 2_200;

    /** Idle sessions are closed in this many steps, so that they do not return all at once. */
    private static final int DRAIN_STEPS = 20;

    /** Stands for never. */
    private static final long MAX_REPORTED_AGE_MS = 3_600_000;

    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final Placement placement;
    private final SessionContext context;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private boolean draining;

    /** Since when control has not been heard; 0 while it is. */
    private long controlLostSinceMs;

    /** Since when this proxy takes itself for isolated; 0 while it does not. */
    private long isolatedSinceMs;

    /** Until when sessions that come while this proxy drains are accepted. */
    private long acceptUntilMs;

    /**
     * An engine without sessions.
     *
     * @param failureDomain of this proxy
     * @param regionByDomain the region of each failure domain
     * @param clock a steady clock
     * @param timeOfDay the wall clock, used only to notice that the steady one stood still
     * @param loop runs everything, on one thread
     */
    public SessionEngine(
            String failureDomain,
            Map<String, String> regionByDomain,
            SqlConnector connector,
            Clock clock,
            Clock timeOfDay,
            ScheduledExecutorService loop,
            EventLog events,
            PrometheusRegistry registry) {
        this.clock = clock;
        this.clockJumpDetector = new ClockJumpDetector(clock, timeOfDay);
        this.executor = loop;
        this.events = events;
        SessionMetrics metrics = new SessionMetrics(registry);
        this.placement = new Placement(
                failureDomain, regionByDomain, connector, clock, clockJumpDetector, loop, events, metrics);
        this.context = new SessionContext(placement, clock, clockJumpDetector, loop, events, metrics, sessions::remove);
        GaugeWithCallback.builder()
                .name("hornbeamspread_sessions")
                .help("Open sessions")
                .callback(gauge -> gauge.call(sessions.size()))
                .register(registry);
        placement.setProbe(this::probePrimaryPosition);
        loop.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** What opening a session came to; called once, on the engine's thread. */
    public interface OpenListener {
        /** The session is open. */
        void onOpen(ClientSession session);
    }

    /** Opens a session on a database name, and waits a little for a configuration if there is none yet. */
    public void open(String database, ClientConnection port, OpenListener listener) {
        open(database, port, listener, clock.millis() + OPEN_TIMEOUT_MS);
    }

    /** Whether this proxy can serve. */
    public boolean isReady() {
        return placement.view().isLoaded() && !draining && !isIsolated();
    }

    /** Control is heard, or has not been heard since a time. */
    public void onControlReachability(boolean heard) {
        placement.onControlHeard(heard);
        if (heard) {
            controlLostSinceMs = 0;
        } else if (controlLostSinceMs == 0) {
            controlLostSinceMs = clock.millis();
        }
    }

    /**
     * Whether neither control nor some primary is in reach: the fault is likely on this side, and others can serve. Without
     * control alone a proxy goes on with what it knows.
     */
    private boolean isIsolated() {
        boolean unheard = controlLostSinceMs > 0 && clock.millis() - controlLostSinceMs > ISOLATION_THRESHOLD_MS;
        return unheard && placement.lacksPrimary(ISOLATION_THRESHOLD_MS);
    }

    /** Takes a newer view over. */
    public void onView(SystemView view) {
        placement.onView(view);
    }

    /** The view in force. */
    public SystemView view() {
        return placement.view();
    }

    /** What this proxy has seen of each service's primary: the instance, since its last proof, the oldest write. */
    public List<PrimaryHealth> primaryHealth() {
        long nowMs = clock.millis();
        List<PrimaryHealth> sightings = new ArrayList<>();
        for (String service : services()) {
            ServiceState state = placement.service(service);
            Optional<String> primaryId = placement.view().primary(service).map(DatabaseInstance::instanceId);
            if (primaryId.isPresent()) {
                long provenMs =
                        state.provenId().equals(primaryId.get()) ? state.provenMs() : nowMs - MAX_REPORTED_AGE_MS;
                long oldestMs = state.writesSentMs.values().stream()
                        .mapToLong(sentMs -> nowMs - sentMs)
                        .max()
                        .orElse(0);
                sightings.add(new PrimaryHealth(
                        primaryId.get(),
                        Math.min(MAX_REPORTED_AGE_MS, nowMs - provenMs),
                        oldestMs,
                        state.unreachableSinceMs() == 0 ? 0 : nowMs - state.unreachableSinceMs()));
            }
        }
        return sightings;
    }

    /**
     * What this proxy has seen of a primary.
     *
     * @param instanceId the instance that the view names as primary
     * @param sinceProofMs since it last proved to lead
     * @param oldestWriteMs age of the oldest write that waits for its answer; 0 for none
     * @param unreachableMs for how long attempts to reach it have failed; 0 when the last one succeeded
     */
    public record PrimaryHealth(
            String instanceId, long sinceLastProofMs, long oldestPendingWriteMs, long unreachableMs) {}

    /** Whether reads wait for positions that this proxy can't ask for itself. */
    public boolean needsSharedPositions() {
        return placement.wantsPositions();
    }

    /** The epoch of the steady clock. */
    public long clockEpoch() {
        return clockJumpDetector.epoch();
    }

    /** A position that control was told by a proven primary which it asked no earlier than the time given. */
    public void onSharedPosition(String service, long askedMs, long askedEpoch, LogPosition position) {
        placement.onSharedPosition(service, askedMs, askedEpoch, position);
    }

    /**
     * Ends all sessions. Until the balancer has noticed, everything goes on, since a client that is sent away would be sent
     * back here. Then idle sessions are closed in steps, others as soon as they are idle, and open transactions by force after
     * half of the grace.
     */
    public void drain(long graceMs) {
        if (draining) {
            return;
        }
        draining = true;
        acceptUntilMs = clock.millis() + Math.min(LOAD_BALANCER_DETECTION_MS, graceMs / 2);
        events.record("drain_started", "sessions", sessions.size(), "grace_ms", graceMs);
        long transactionMs = Math.round(graceMs * TRANSACTION_GRACE_FRACTION);
        long noticedMs = Math.min(LOAD_BALANCER_DETECTION_MS, transactionMs);
        long intervalMs = Math.max(1, (transactionMs - noticedMs) / DRAIN_STEPS);
        executor.schedule(() -> drainStep(1, intervalMs), noticedMs, TimeUnit.MILLISECONDS);
        executor.schedule(
                () -> List.copyOf(sessions).forEach(session -> {
                    session.abortTransaction("the proxy is shutting down");
                    session.closeWhenIdle();
                }),
                transactionMs,
                TimeUnit.MILLISECONDS);
    }

    /** Whether no session is left, and none may come. */
    public boolean isDrained() {
        return draining && sessions.isEmpty() && clock.millis() > acceptUntilMs;
    }

    private void drainStep(int step, long intervalMs) {
        List<ClientSession> open = List.copyOf(sessions);
        int part = open.size() / (DRAIN_STEPS - Math.min(step, DRAIN_STEPS) + 1) + 1;
        open.stream().limit(part).forEach(ClientSession::closeWhenIdle);
        if (step < DRAIN_STEPS) {
            executor.schedule(() -> drainStep(step + 1, intervalMs), intervalMs, TimeUnit.MILLISECONDS);
        }
    }

    private void open(String database, ClientConnection port, OpenListener listener, long untilMs) {
        if (draining && clock.millis() > acceptUntilMs) {
            refuse(database, port, SqlError.BUSY, RefusalReason.SHUTTING_DOWN);
        } else if (placement.view().route(database).isPresent()) {
            ClientSession session = new ClientSession(context, database, port);
            sessions.add(session);
            listener.onOpen(session);
            port.accept();
        } else if (placement.view().isLoaded()) {
            refuse(database, port, SqlError.UNKNOWN_DATABASE, RefusalReason.NO_ROUTE);
        } else if (clock.millis() < untilMs) {
            executor.schedule(() -> open(database, port, listener, untilMs), OPEN_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            refuse(database, port, SqlError.BUSY, RefusalReason.NO_CONFIGURATION);
        }
    }

    private void refuse(String database, ClientConnection port, SqlError error, RefusalReason reason) {
        context.onRefused(reason);
        long version = placement.view().configuration().version();
        events.record("session_refused", "database", database, "reason", reason, "configuration", version);
        port.refuse(error, reason.name());
    }

    /** Sends sessions away while this proxy is isolated, once the balancer sends them elsewhere. */
    private void checkIsolation() {
        if (!isIsolated()) {
            isolatedSinceMs = 0;
        } else if (isolatedSinceMs == 0) {
            isolatedSinceMs = clock.millis();
            events.record(
                    "isolated", "control_lost_ms", clock.millis() - controlLostSinceMs, "sessions", sessions.size());
        } else if (clock.millis() - isolatedSinceMs > LOAD_BALANCER_DETECTION_MS) {
            List.copyOf(sessions).forEach(ClientSession::closeWhenIdle);
        }
    }

    private void sweep() {
        checkIsolation();
        long limitMs = placement.view().configuration().idleTransactionMs();
        if (limitMs > 0) {
            for (ClientSession session : List.copyOf(sessions)) {
                if (session.idleInTransactionMs() > limitMs) {
                    session.abortTransaction("idle in transaction for longer than " + limitMs + " ms");
                }
            }
        }
        executor.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private List<String> services() {
        return placement.view().instances().stream()
                .map(DatabaseInstance::service)
                .distinct()
                .toList();
    }

    /** Asks a service's primary for its position, unless such a question is under way. */
    private void probePrimaryPosition(String service) {
        ServiceState state = placement.service(service);
        if (state.probing) {
            return;
        }
        state.probing = true;
        Route route = new Route("position probe", "", service, RouteKind.PRIMARY, 0, OPEN_TIMEOUT_MS, 0, 0);
        ConnectionRequest unit = new ConnectionRequest(
                context.nextConnectionRequestId(),
                SqlRequest.INTERNAL_ID,
                route,
                true,
                LogPosition.NONE,
                Map.of(),
                clock.millis(),
                clock.millis() + OPEN_TIMEOUT_MS,
                new PositionProbe(state));
        placement.place(unit);
    }

    /** Opens and ends a plain transaction at the primary, which tells its position. */
    private final class PositionProbe implements ConnectionRequest.Listener {
        private final ServiceState state;

        PositionProbe(ServiceState state) {
            this.state = state;
        }

        @Override
        public void onRefused(RefusalReason reason) {
            state.probing = false;
            events.record("position_probe_failed", "reason", reason);
        }

        @Override
        public void onLease(ConnectionLease lease) {
            long askedMs = clock.millis();
            long askedEpoch = clockJumpDetector.epoch();
            List<CompletableFuture<SqlResult>> results = lease.connection()
                    .send(List.of(
                            SqlRequest.internal(new SqlStatement.Begin(false)),
                            SqlRequest.internal(new SqlStatement.Rollback())));
            executor.schedule(
                    () -> {
                        if (!results.get(1).isDone()) {
                            lease.link().onSilent();
                            state.onUnreachable(clock.millis());
                            lease.discard();
                        }
                    },
                    PROBE_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
            results.get(1).whenComplete((end, error) -> {
                state.probing = false;
                if (error != null) {
                    lease.discard();
                    return;
                }
                SqlResult begun = results.get(0).join();
                if (begun.isSuccess() && end.isSuccess()) {
                    lease.release();
                    placement.onProof(
                            lease.instance(),
                            askedMs,
                            askedEpoch,
                            begun.position().orElse(LogPosition.NONE));
                } else {
                    lease.discard();
                    placement.onNotPrimary(lease.instance().instanceId());
                }
            });
        }
    }
}
