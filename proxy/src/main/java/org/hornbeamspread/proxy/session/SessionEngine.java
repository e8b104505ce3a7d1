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
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.admission.ClientMemoryBudget;
import org.hornbeamspread.core.dissemination.AuthorizationLease;
import org.hornbeamspread.core.failover.CommitTracker;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.sql.SqlConnector;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.SqlResult;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.proxy.session.CallerAuthenticator.Authentication;

/**
 * The sessions of one proxy. All code runs on the single thread of the executor: a statement uses sessions, queues and pools in
 * turn, and a handover between threads would cost more than the work itself. Other threads call through the executor.
 */
public final class SessionEngine {
    /** Shorter than the two seconds for which clients wait for a session to open. */
    private static final long OPEN_TIMEOUT_MS = 1_500;

    private static final long OPEN_RETRY_MS = 50;

    /** Twenty round trips between regions. No queueing is included, since a probe takes no slot of the database. */
    private static final long PROBE_TIMEOUT_MS = 400;

    private static final long SWEEP_INTERVAL_MS = 500;

    /** Covers two connection attempts and one round of requests to all control members. */
    private static final long ISOLATION_THRESHOLD_MS = 1_200;

    /** Fraction of the grace period of a drain after which open transactions are aborted. */
    private static final double TRANSACTION_GRACE_FRACTION = 0.5;

    /** The load balancer stops routing new connections here after two failed health checks, one second apart. */
    private static final long LOAD_BALANCER_DETECTION_MS = 2_200;

    /** Idle sessions are closed in this many steps, so that clients do not reconnect all at once. */
    private static final int DRAIN_STEPS = 20;

    /** Upper bound of the reported time since a proof of a primary; also reported if there was no proof. */
    private static final long MAX_REPORTED_AGE_MS = 3_600_000;

    /** The part of the heap for requests, session state and unread responses of all clients. */
    private static final int HEAP_PARTS_FOR_CLIENTS = 4;

    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final StatementRouter router;
    private final SessionContext context;
    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final AuthorizationLease authorizationLease;
    private final CallerAuthenticator authenticator;
    private final QuotaGate quotas;
    private boolean draining;

    /** When control became unreachable; 0 while control is reachable. */
    private long controlLostSinceMs;

    /** When this proxy was first found to be isolated; 0 while it is not. */
    private long isolatedSinceMs;

    /** While draining: the time until which new sessions are still accepted. */
    private long acceptUntilMs;

    /**
     * Creates an engine without sessions.
     *
     * @param proxyId the id of this proxy, unique among the proxies
     * @param failureDomain the failure domain of this proxy
     * @param regionByDomain the region of each failure domain
     * @param clock a monotonic clock
     * @param wallClock used only to detect that the monotonic clock stood still
     * @param executor runs all work of the engine on one thread
     */
    public SessionEngine(
            String proxyId,
            String failureDomain,
            Map<String, String> regionByDomain,
            SqlConnector connector,
            Clock clock,
            Clock wallClock,
            ScheduledExecutorService executor,
            EventLog events,
            PrometheusRegistry registry) {
        this(
                proxyId,
                failureDomain,
                regionByDomain,
                connector,
                clock,
                wallClock,
                0,
                QuotaBounds.DEFAULT,
                executor,
                events,
                registry);
    }

    /**
     * Creates an engine whose keys are valid for a limited time.
     *
     * @param authorizationLeaseMs how long callers may be admitted by keys after a confirmed contact with control; 0 for no limit
     * @param quotaBounds how closely the limits of workspaces are kept
     */
    public SessionEngine(
            String proxyId,
            String failureDomain,
            Map<String, String> regionByDomain,
            SqlConnector connector,
            Clock clock,
            Clock wallClock,
            long authorizationLeaseMs,
            QuotaBounds quotaBounds,
            ScheduledExecutorService executor,
            EventLog events,
            PrometheusRegistry registry) {
        this.clock = clock;
        this.clockJumpDetector = new ClockJumpDetector(clock, wallClock);
        this.executor = executor;
        this.events = events;
        SessionMetrics metrics = new SessionMetrics(registry);
        this.router = new StatementRouter(
                proxyId, failureDomain, regionByDomain, connector, clock, clockJumpDetector, executor, events, metrics);
        this.authorizationLease = new AuthorizationLease(authorizationLeaseMs, clock, clockJumpDetector);
        this.authenticator = new CallerAuthenticator(router::view, authorizationLease);
        SplittableRandom random = new SplittableRandom(proxyId.hashCode());
        this.quotas = new QuotaGate(quotaBounds, clock, clockJumpDetector, executor, events, random.split());
        ClientMemoryBudget clientMemory =
                new ClientMemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_PARTS_FOR_CLIENTS);
        this.context = new SessionContext(
                router,
                clock,
                clockJumpDetector,
                executor,
                events,
                metrics,
                authenticator,
                quotas,
                random,
                clientMemory,
                sessions::remove);
        GaugeWithCallback.builder()
                .name("hornbeamspread_client_memory_bytes")
                .help("Requests, session state and unread responses that are held for clients")
                .callback(gauge -> gauge.call((double) clientMemory.totalBytes()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("hornbeamspread_sessions")
                .help("Open sessions")
                .callback(gauge -> gauge.call(sessions.size()))
                .register(registry);
        router.setPrimaryProbe(this::probePrimaryPosition);
        executor.schedule(this::sweep, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Receives an opened session; called at most once for each request to open one, on the engine's thread. */
    public interface OpenListener {
        /** The session is open. */
        void onOpen(ClientSession session);
    }

    /**
     * Opens a session on a database name. Without a configuration, waits for the first one until {@link #OPEN_TIMEOUT_MS} and
     * then refuses the session.
     *
     * @param key the key of the caller; looked at only where the configuration requires one
     */
    public void open(String database, Optional<String> key, ClientConnection client, OpenListener listener) {
        open(database, key, client, listener, clock.millis() + OPEN_TIMEOUT_MS);
    }

    /** The budget of the memory that is held for clients. */
    ClientMemoryBudget clientMemory() {
        return context.clientMemory();
    }

    /** Whether this proxy can serve sessions. */
    public boolean isReady() {
        return router.view().isLoaded() && !draining && !isIsolated() && authenticator.admitsKeys();
    }

    /** Updates whether control is reachable. */
    public void setControlReachable(boolean reachable) {
        router.setControlReachable(reachable);
        if (reachable) {
            controlLostSinceMs = 0;
        } else if (controlLostSinceMs == 0) {
            controlLostSinceMs = clock.millis();
        }
    }

    /**
     * Whether control has been unreachable, and the primary of some service unreachable or unknown, for longer than {@link
     * #ISOLATION_THRESHOLD_MS}. The fault is then likely on the side of this proxy, and other proxies can serve. While only
     * control is unreachable, the proxy continues to serve with its last view.
     */
    private boolean isIsolated() {
        boolean controlLost = controlLostSinceMs > 0 && clock.millis() - controlLostSinceMs > ISOLATION_THRESHOLD_MS;
        return controlLost && router.lacksPrimary(ISOLATION_THRESHOLD_MS);
    }

    /** Applies a newer view of the system. */
    public void onView(SystemView view) {
        long previousVersion = router.view().configuration().version();
        router.onView(view);
        if (view.configuration().version() != previousVersion) {
            quotas.configure(view.configuration().workspaces().orElseGet(List::of));
        }
        if (view.requiresKeys() && view.configuration().version() != previousVersion) {
            List.copyOf(sessions).forEach(ClientSession::onKeysChanged);
        }
    }

    /**
     * Extends the time for which callers are admitted by their keys.
     *
     * @param confirmedAtMs a lower bound of the time at which a majority of control last confirmed the leader that sent the view
     * @param confirmedEpoch the epoch of the clocks in which that time was measured
     */
    public void onLeaderConfirmed(long confirmedAtMs, long confirmedEpoch) {
        authorizationLease.extend(confirmedAtMs, confirmedEpoch);
    }

    /** Sets how demands for operations of limited workspaces reach control. */
    void setQuotaExchange(QuotaGate.Exchange exchange) {
        quotas.setExchange(exchange);
    }

    /** Whether a confirmation of control's leader should be requested soon. */
    public boolean needsConfirmedLeader() {
        return authenticator.isRenewalDue();
    }

    /**
     * Applies the seals of a newer view.
     *
     * @param seals the complete list of seals in force, by service
     * @param promotedTokens the token of each service's latest promotion
     */
    public void onSeals(Map<String, Seal> seals, Map<String, Long> promotedTokens) {
        router.onSeals(seals, promotedTokens);
    }

    /** The commits that this proxy has acknowledged, by service. */
    public Map<String, CommitTracker> acknowledgedCommits() {
        return router.acknowledgedCommits();
    }

    /** The current view of the system. */
    public SystemView view() {
        return router.view();
    }

    /** The health of each service's primary as observed by this proxy. */
    public List<PrimaryHealth> primaryHealth() {
        long nowMs = clock.millis();
        List<PrimaryHealth> primaries = new ArrayList<>();
        for (String service : services()) {
            ServiceState state = router.serviceState(service);
            Optional<String> primaryId = router.view().primary(service).map(DatabaseInstance::instanceId);
            if (primaryId.isPresent()) {
                long lastProofAtMs = state.provenPrimaryId().equals(primaryId.get())
                        ? state.lastProofAtMs()
                        : nowMs - MAX_REPORTED_AGE_MS;
                long oldestWriteAgeMs = state.pendingWriteSentAtMs.values().stream()
                        .mapToLong(sentMs -> nowMs - sentMs)
                        .max()
                        .orElse(0);
                primaries.add(new PrimaryHealth(
                        primaryId.get(),
                        Math.min(MAX_REPORTED_AGE_MS, nowMs - lastProofAtMs),
                        oldestWriteAgeMs,
                        state.unreachableSinceMs() == 0 ? 0 : nowMs - state.unreachableSinceMs()));
            }
        }
        return primaries;
    }

    /**
     * The health of a primary as observed by this proxy.
     *
     * @param instanceId the instance that is the primary according to the view
     * @param sinceLastProofMs time since the instance last proved to be the primary
     * @param oldestPendingWriteMs age of the oldest write without a response; 0 if there is none
     * @param unreachableMs how long attempts to reach the instance have failed; 0 if the last one succeeded
     */
    public record PrimaryHealth(
            String instanceId, long sinceLastProofMs, long oldestPendingWriteMs, long unreachableMs) {}

    /** Whether reads wait for positions that this proxy cannot request from the primary itself. */
    public boolean needsSharedPositions() {
        return router.needsSharedPositions();
    }

    /** The epoch of the monotonic clock; ages are valid only within one epoch. */
    public long clockEpoch() {
        return clockJumpDetector.epoch();
    }

    /**
     * Adds a position that control received from a proven primary.
     *
     * @param requestedAtMs lower bound of the time at which control sent its request
     * @param requestEpoch the clock's epoch at that time
     */
    public void onSharedPosition(String service, long requestedAtMs, long requestEpoch, LogPosition position) {
        router.onSharedPosition(service, requestedAtMs, requestEpoch, position);
    }

    /**
     * Closes all sessions. Until the load balancer has detected the drain, service continues unchanged, since a client whose
     * session is closed would be routed back to this proxy. Then idle sessions are closed in steps, and the others as soon as
     * they are idle. Open transactions are aborted after half of the grace period, unless a COMMIT is running.
     *
     * @param graceMs the time from the request to stop until the process is killed
     */
    public void drain(long graceMs) {
        if (draining) {
            return;
        }
        draining = true;
        acceptUntilMs = clock.millis() + Math.min(LOAD_BALANCER_DETECTION_MS, graceMs / 2);
        events.record("drain_started", "sessions", sessions.size(), "grace_ms", graceMs);
        long transactionGraceMs = Math.round(graceMs * TRANSACTION_GRACE_FRACTION);
        long firstStepMs = Math.min(LOAD_BALANCER_DETECTION_MS, transactionGraceMs);
        long intervalMs = Math.max(1, (transactionGraceMs - firstStepMs) / DRAIN_STEPS);
        executor.schedule(() -> drainStep(1, intervalMs), firstStepMs, TimeUnit.MILLISECONDS);
        executor.schedule(
                () -> List.copyOf(sessions).forEach(session -> {
                    session.abortTransaction("the proxy is shutting down");
                    session.closeWhenIdle();
                }),
                transactionGraceMs,
                TimeUnit.MILLISECONDS);
    }

    /** Whether no session is open and no new session is accepted any more. */
    public boolean isDrained() {
        return draining && sessions.isEmpty() && clock.millis() > acceptUntilMs;
    }

    private void drainStep(int step, long intervalMs) {
        List<ClientSession> open = List.copyOf(sessions);
        int count = open.size() / (DRAIN_STEPS - Math.min(step, DRAIN_STEPS) + 1) + 1;
        open.stream().limit(count).forEach(ClientSession::closeWhenIdle);
        if (step < DRAIN_STEPS) {
            executor.schedule(() -> drainStep(step + 1, intervalMs), intervalMs, TimeUnit.MILLISECONDS);
        }
    }

    private void open(
            String database, Optional<String> key, ClientConnection client, OpenListener listener, long deadlineMs) {
        if (draining && clock.millis() > acceptUntilMs) {
            refuse(database, client, RefusalReason.SHUTTING_DOWN);
        } else if (router.view().route(database).isPresent()) {
            openOn(router.view().route(database).get(), key, client, listener);
        } else if (router.view().isLoaded()) {
            refuse(database, client, RefusalReason.NO_ROUTE);
        } else if (clock.millis() < deadlineMs) {
            executor.schedule(
                    () -> open(database, key, client, listener, deadlineMs), OPEN_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            refuse(database, client, RefusalReason.NO_CONFIGURATION);
        }
    }

    private void openOn(Route route, Optional<String> key, ClientConnection client, OpenListener listener) {
        if (authenticator.authenticate(key, route) instanceof Authentication.Refused refused) {
            refuse(route.database(), client, refused.reason());
            return;
        }
        ClientSession session = new ClientSession(context, route.database(), key, client);
        sessions.add(session);
        listener.onOpen(session);
        client.accept();
    }

    private void refuse(String database, ClientConnection client, RefusalReason reason) {
        context.onRefused(reason);
        long version = router.view().configuration().version();
        events.record("session_refused", "database", database, "reason", reason, "configuration", version);
        client.refuse(reason.error(), reason.name());
    }

    /** Closes idle sessions of an isolated proxy, once the load balancer routes new connections to other proxies. */
    private void checkIsolation() {
        if (!isIsolated() && authenticator.admitsKeys()) {
            isolatedSinceMs = 0;
        } else if (isolatedSinceMs == 0) {
            isolatedSinceMs = clock.millis();
            events.record(
                    "isolated", "control_lost_ms", clock.millis() - controlLostSinceMs, "sessions", sessions.size());
        } else if (clock.millis() - isolatedSinceMs > LOAD_BALANCER_DETECTION_MS) {
            List.copyOf(sessions).forEach(ClientSession::closeWhenIdle);
        }
    }

    /** Checks for isolation, and aborts transactions that have been idle for too long. */
    private void sweep() {
        checkIsolation();
        long limitMs = router.view().configuration().idleTransactionMs();
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
        return router.view().instances().stream()
                .map(DatabaseInstance::service)
                .distinct()
                .toList();
    }

    /** Requests the position of a service's primary, unless such a probe is in flight. */
    private void probePrimaryPosition(String service) {
        ServiceState state = router.serviceState(service);
        if (state.probing) {
            return;
        }
        state.probing = true;
        Route route = new Route("position probe", "", service, RouteKind.PRIMARY, 0, OPEN_TIMEOUT_MS, 0, 0);
        ConnectionRequest connectionRequest = new ConnectionRequest(
                context.nextConnectionRequestId(),
                SqlRequest.INTERNAL_ID,
                route,
                Optional.empty(),
                true,
                LogPosition.NONE,
                Map.of(),
                clock.millis(),
                clock.millis() + OPEN_TIMEOUT_MS,
                new PositionProbe(state));
        router.route(connectionRequest);
    }

    /** Begins and rolls back a read-write transaction on the primary, whose response to BEGIN contains its position. */
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
            long requestedAtMs = clock.millis();
            long requestEpoch = clockJumpDetector.epoch();
            List<CompletableFuture<SqlResult>> results = lease.connection()
                    .send(List.of(
                            SqlRequest.internal(new SqlStatement.Begin(false)),
                            SqlRequest.internal(new SqlStatement.Rollback())));
            executor.schedule(
                    () -> {
                        if (!results.get(1).isDone()) {
                            if (lease.pool().onProbeTimeout(lease.connection())) {
                                state.onPrimaryUnreachable(clock.millis());
                            }
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
                    router.onPrimaryProof(
                            lease.instance(),
                            requestedAtMs,
                            requestEpoch,
                            begun.position().orElse(LogPosition.NONE));
                } else {
                    lease.discard();
                    router.onNotPrimary(lease.instance().instanceId());
                }
            });
        }
    }
}
