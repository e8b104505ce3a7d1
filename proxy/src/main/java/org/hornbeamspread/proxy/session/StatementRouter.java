package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.admission.ConnectionShare;
import org.hornbeamspread.core.failover.CommitTracker;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.placement.InstanceSelector;
import org.hornbeamspread.core.placement.InstanceSelector.Candidate;
import org.hornbeamspread.core.placement.PositionSamples.Sample;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.RouteKind;
import org.hornbeamspread.core.route.RoutedService;
import org.hornbeamspread.core.sql.SqlConnector;

/**
 * Routes each connection request, made by a single statement or a transaction, to an instance.
 *
 * <p>Writes, read-write transactions and the reads of primary routes go to the primary, which proves its role by accepting a
 * read-write transaction. Other reads go to the instance with the earliest expected completion. The position that the log of
 * that instance must contain comes from {@link org.hornbeamspread.core.placement.PositionSamples} and from the session's own
 * commits; the instance validates that its log contains the position. A request without a usable instance waits for a short
 * time, since a promotion may be in progress, and is then refused as not run. Confined to the engine's thread.
 */
final class StatementRouter {
    /** Connections of each database that are reserved for control. */
    private static final int RESERVED_CONNECTIONS = 3;

    /** Subtracted from a staleness allowance, since ages are rounded. */
    private static final long STALENESS_MARGIN_MS = 100;

    /**
     * A sample older than this fraction of the staleness allowance is refreshed before it expires. While control is reachable, its
     * updates bring a sample of each service more often, so that this proxy needs no connection to the primaries for samples.
     */
    private static final double SAMPLE_REFRESH_FRACTION = 0.8;

    private static final long PARKED_RETRY_INTERVAL_MS = 25;

    /** A promoted instance becomes the primary about a hundred ms after the promotion request. */
    private static final long NOT_PRIMARY_BACKOFF_MS = 60;

    /** Interval of the checks for silent instances and for requests that can no longer start in time. */
    private static final long CHECK_INTERVAL_MS = 50;

    /** A check that runs later than scheduled by more than this time shows that this proxy itself was paused. */
    private static final long LOCAL_PAUSE_THRESHOLD_MS = 150;

    private static final int MAX_ATTEMPTS = 6;

    /** A draining primary without a successor serves until shortly before the time limit for new work. */
    private static final long DRAINING_PRIMARY_LIMIT_MS = 4_000;

    private static final double SAME_DOMAIN_RTT_MS = 0.5;
    private static final double SAME_REGION_RTT_MS = 4;
    private static final double OTHER_REGION_RTT_MS = 24;

    private final String proxyId;
    private final String failureDomain;
    private final Map<String, String> regionByDomain;
    private final SqlConnector connector;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final SessionMetrics metrics;
    private final Map<String, InstanceConnectionPool> pools = new HashMap<>();
    private final Map<String, ServiceState> serviceStates = new HashMap<>();
    private final Map<String, Long> drainingSinceMs = new HashMap<>();

    /** Until when an instance that responded that it is not the primary gets no further requests for the primary. */
    private final Map<String, Long> notPrimaryUntilMs = new HashMap<>();

    private final Deque<ConnectionRequest> parked = new ArrayDeque<>();
    private SystemView view = SystemView.NONE;
    private boolean retryScheduled;
    private boolean checkScheduled;
    private long checkScheduledAtMs;
    private boolean controlReachable = true;
    private PrimaryProbe probe;

    /** Requests the primary's log position; the response is passed to {@link ServiceState#onPrimaryProof}. */
    interface PrimaryProbe {
        void requestPosition(String service);
    }

    StatementRouter(
            String proxyId,
            String failureDomain,
            Map<String, String> regionByDomain,
            SqlConnector connector,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            ScheduledExecutorService executor,
            EventLog events,
            SessionMetrics metrics) {
        this.metrics = metrics;
        this.proxyId = proxyId;
        this.failureDomain = failureDomain;
        this.regionByDomain = Map.copyOf(regionByDomain);
        this.connector = connector;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
        this.executor = executor;
        this.events = events;
    }

    void setPrimaryProbe(PrimaryProbe primaryProbe) {
        probe = primaryProbe;
    }

    SystemView view() {
        return view;
    }

    ServiceState serviceState(String name) {
        return serviceStates.computeIfAbsent(name, key -> new ServiceState(clock));
    }

    /** Applies a newer view. */
    void onView(SystemView next) {
        view = next;
        notPrimaryUntilMs.clear();
        Map<String, DatabaseInstance> currentInstances = new HashMap<>();
        next.instances().forEach(instance -> currentInstances.put(instance.instanceId(), instance));
        next.drainingSinceMs().forEach(this::onDrainingSince);
        drainingSinceMs
                .keySet()
                .removeIf(id -> !currentInstances.containsKey(id)
                        || !currentInstances.get(id).draining());
        for (InstanceConnectionPool pool : List.copyOf(pools.values())) {
            DatabaseInstance current = currentInstances.get(pool.instance().instanceId());
            boolean sameIncarnation = current != null
                    && current.bornMs() == pool.instance().bornMs()
                    && current.address().equals(pool.instance().address());
            if (!sameIncarnation) {
                pools.remove(pool.instance().instanceId());
                pool.close();
            } else {
                pool.resize(connectionShare(current), next.proxyCount());
            }
        }
        for (DatabaseInstance instance : next.instances()) {
            if (instance.draining()) {
                drainingSinceMs.putIfAbsent(instance.instanceId(), clock.millis());
            }
        }
        retryParked();
    }

    /** A proxy that observed the announcement itself knows the time, also if a later leader of control doesn't; for any other the limit is over. */
    private void onDrainingSince(String instanceId, long sinceMs) {
        if (sinceMs == SystemView.UNKNOWN_TIME) {
            drainingSinceMs.putIfAbsent(instanceId, sinceMs);
        } else {
            drainingSinceMs.merge(instanceId, sinceMs, Math::min);
        }
    }

    /** Records the response of an instance that it is not the primary. */
    void onNotPrimary(String instanceId) {
        Long previousUntilMs = notPrimaryUntilMs.put(instanceId, clock.millis() + NOT_PRIMARY_BACKOFF_MS);
        if (previousUntilMs == null) {
            events.record("not_primary", "instance", instanceId, "pause_ms", NOT_PRIMARY_BACKOFF_MS);
        }
        InstanceConnectionPool pool = pools.get(instanceId);
        if (pool != null) {
            serviceState(pool.instance().service()).onNotPrimary(clock.millis());
        }
    }

    /** Records whether control is reachable, and the view therefore up to date. */
    void setControlReachable(boolean reachable) {
        controlReachable = reachable;
        if (reachable) {
            serviceStates.values().forEach(ServiceState::clearNotPrimary);
        }
    }

    /** Records that an instance proved to be the primary. */
    void onPrimaryProof(DatabaseInstance instance, long requestedAtMs, long requestEpoch, LogPosition position) {
        notPrimaryUntilMs.remove(instance.instanceId());
        ServiceState state = serviceState(instance.service());
        state.updateClockEpoch(clockJumpDetector.epoch());
        state.onPrimaryProof(instance.instanceId(), requestedAtMs, requestEpoch, position);
        if (!parked.isEmpty()) {
            retryParked();
        }
    }

    /** Routes a request again after the previous instance could not serve it. */
    void retry(ConnectionRequest request, RetryReason reason) {
        metrics.onRetry(reason);
        route(request);
    }

    /** Routes a request to the pool of an instance, or parks the request while no instance is usable. */
    void route(ConnectionRequest request) {
        if (request.ended) {
            return;
        }
        if (request.attempts++ >= MAX_ATTEMPTS) {
            request.refuse(RefusalReason.ATTEMPTS_SPENT);
            return;
        }
        Optional<InstanceConnectionPool> pool = request.needsPrimary ? primaryPool(request) : readPool(request);
        if (pool.isPresent()) {
            pool.get().acquire(request);
            scheduleCheck();
        } else if (!request.ended) {
            park(request);
        }
    }

    private Optional<InstanceConnectionPool> primaryPool(ConnectionRequest request) {
        String service = request.route.service();
        String provenId = serviceState(service).provenPrimaryId();
        Optional<DatabaseInstance> announced = view.primary(service).filter(instance -> mayServe(request, instance));
        // The previous primary stays the primary until the promotion takes effect, but writes that it
        // acknowledges in that time would be lost.
        boolean promotionKnown = controlReachable && view.hasPromotedInstance(service);
        Optional<DatabaseInstance> proven = view.instances(service).stream()
                .filter(instance -> !promotionKnown)
                .filter(instance -> instance.instanceId().equals(provenId))
                .filter(instance -> mayServe(request, instance))
                .findFirst();
        Optional<InstanceConnectionPool> pool =
                announced.or(() -> proven).or(() -> possiblePrimary(request)).map(this::pool);
        if (pool.isPresent() && !pool.get().isReachable() && pool.get().hasConnectFailed()) {
            serviceState(service).onPrimaryUnreachable(clock.millis());
        }
        return pool.filter(InstanceConnectionPool::isReachable);
    }

    /**
     * While control is unreachable, any reachable instance that has not recently responded that it is not the primary: the proxy
     * receives no promotions then. The instance proves to be the primary, or refuses the statement, which then did not run.
     */
    private Optional<DatabaseInstance> possiblePrimary(ConnectionRequest request) {
        if (controlReachable) {
            return Optional.empty();
        }
        return view.instances(request.route.service()).stream()
                .filter(instance -> mayServe(request, instance))
                .filter(instance -> pool(instance).isReachable())
                .findFirst();
    }

    /** Adds a position that control received from a proven primary at or after the given time. */
    void onSharedPosition(String service, long requestedAtMs, long requestEpoch, LogPosition position) {
        ServiceState state = serviceState(service);
        state.updateClockEpoch(clockJumpDetector.epoch());
        state.addSample(requestedAtMs, requestEpoch, position);
        retryParked();
    }

    /** Applies the seals in a changed view: each sealed service's seal. */
    void onSeals(Map<String, Seal> seals, Map<String, Long> promotedTokens) {
        seals.forEach((service, seal) -> serviceState(service).commits.onSeal(seal));
        serviceStates.forEach((service, state) -> {
            if (!seals.containsKey(service)) {
                boolean leads = view.instances(service).stream()
                        .anyMatch(instance -> instance.primary()
                                && instance.instanceId()
                                        .equals(view.promotedIds().get(service)));
                state.commits.onNoSeal(leads ? promotedTokens.getOrDefault(service, 0L) : 0);
            }
        });
        retryParked();
    }

    /** The commits that this proxy has acknowledged, by service. */
    Map<String, CommitTracker> acknowledgedCommits() {
        Map<String, CommitTracker> commits = new TreeMap<>();
        serviceStates.forEach((service, state) -> commits.put(service, state.commits));
        return commits;
    }

    /** Whether the primary of any service has been unreachable or unknown for longer than a time. */
    boolean lacksPrimary(long longerThanMs) {
        long nowMs = clock.millis();
        return serviceStates.values().stream()
                .anyMatch(state ->
                        state.withoutPrimarySinceMs() > 0 && nowMs - state.withoutPrimarySinceMs() > longerThanMs);
    }

    /** Whether reads wait for positions that this proxy cannot request itself. */
    boolean needsSharedPositions() {
        return serviceStates.values().stream().anyMatch(state -> state.needsSharedPosition);
    }

    private boolean mayServe(ConnectionRequest request, DatabaseInstance instance) {
        return !(request.mayWrite && isSealed(instance)) && mayBePrimary(instance);
    }

    /** Whether an instance is, or may be, the primary that may be about to be replaced, so that nothing is written there. */
    boolean isSealed(DatabaseInstance instance) {
        String service = instance.service();
        ServiceState state = serviceState(service);
        if (instance.instanceId().equals(state.provenPrimaryId())) {
            return state.commits.isSealed();
        }
        boolean chosen = instance.instanceId().equals(view.promotedIds().get(service));
        return state.commits.sealedToken() > 0 && instance.primary() && !chosen;
    }

    private boolean mayBePrimary(DatabaseInstance instance) {
        Long sinceMs = drainingSinceMs.get(instance.instanceId());
        boolean drainingTooLong = sinceMs != null && clock.millis() - sinceMs > DRAINING_PRIMARY_LIMIT_MS;
        boolean notPrimary = notPrimaryUntilMs.getOrDefault(instance.instanceId(), Long.MIN_VALUE) > clock.millis();
        return !drainingTooLong && !notPrimary;
    }

    private Optional<InstanceConnectionPool> readPool(ConnectionRequest request) {
        String service = request.route.service();
        ServiceState state = serviceState(service);
        state.updateClockEpoch(clockJumpDetector.epoch());
        long allowanceMs = Math.max(0, request.route.maxStalenessMs() - STALENESS_MARGIN_MS);
        Optional<Sample> sample = state.positionSamples.oldestWithin(request.arrivedMs, allowanceMs);
        Optional<Sample> latest = state.positionSamples.latest();
        boolean refreshDue = latest.isEmpty()
                || clock.millis() - latest.get().requestedAtMs() > SAMPLE_REFRESH_FRACTION * allowanceMs;
        if (refreshDue) {
            probe.requestPosition(service);
            state.needsSharedPosition |= state.unreachableSinceMs() > 0;
        }
        if (sample.isEmpty()) {
            request.requiredPosition = Optional.empty();
            return Optional.empty();
        }
        LogPosition position = sample.get().position();
        request.requiredPosition = Optional.of(
                request.route.kind() == RouteKind.READ_YOUR_WRITES
                        ? LogPosition.max(position, request.minPosition)
                        : position);
        List<Candidate> candidates = new ArrayList<>();
        for (DatabaseInstance instance : view.instances(service)) {
            if (!instance.draining() && !request.triedInstanceIds.contains(instance.instanceId())) {
                InstanceConnectionPool pool = pool(instance);
                if (pool.isReachable()) {
                    candidates.add(candidate(pool, request));
                }
            }
        }
        if (candidates.isEmpty() && request.lastQueueRefusal != null) {
            request.refuse(request.lastQueueRefusal);
        }
        return InstanceSelector.select(candidates).map(best -> pools.get(best.instanceId()));
    }

    private Candidate candidate(InstanceConnectionPool pool, ConnectionRequest request) {
        boolean needsConnection = request.caller
                .filter(caller -> !caller.isAnonymous())
                .filter(caller -> !pool.hasIdleConnection(caller))
                .isPresent();
        return new Candidate(
                pool.instance().instanceId(),
                roundTripMs(pool.instance()),
                pool.serviceMs(),
                pool.outstanding(),
                pool.limiter().concurrencyLimit(),
                pool.silentMs(),
                pool.laggingForMs() > 0 ? pool.serviceMs() + OTHER_REGION_RTT_MS : 0,
                needsConnection);
    }

    private double roundTripMs(DatabaseInstance instance) {
        if (instance.failureDomain().equals(failureDomain)) {
            return SAME_DOMAIN_RTT_MS;
        }
        String region = regionByDomain.getOrDefault(instance.failureDomain(), "");
        boolean sameRegion = region.equals(regionByDomain.getOrDefault(failureDomain, "-"));
        return sameRegion ? SAME_REGION_RTT_MS : OTHER_REGION_RTT_MS;
    }

    InstanceConnectionPool pool(DatabaseInstance instance) {
        return pools.computeIfAbsent(
                instance.instanceId(),
                id -> new InstanceConnectionPool(
                        instance, connectionShare(instance), view.proxyCount(), connector, clock, events, this::retry));
    }

    private ConnectionShare connectionShare(DatabaseInstance instance) {
        int maxConnections = view.configuration()
                .service(instance.service())
                .map(RoutedService::maxConnections)
                .orElse(0);
        return ConnectionShare.of(
                maxConnections - RESERVED_CONNECTIONS, view.proxyCount(), proxyId, instance.instanceId());
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            checkScheduledAtMs = clock.millis();
            executor.schedule(this::checkPools, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void checkPools() {
        checkScheduled = false;
        boolean localPause = clock.millis() - checkScheduledAtMs > CHECK_INTERVAL_MS + LOCAL_PAUSE_THRESHOLD_MS;
        List.copyOf(pools.values()).forEach(pool -> pool.check(localPause));
        if (pools.values().stream().anyMatch(InstanceConnectionPool::needsCheck)) {
            scheduleCheck();
        }
    }

    private void park(ConnectionRequest request) {
        request.triedInstanceIds.clear();
        request.clearQueueRefusals();
        if (clock.millis() >= request.startDeadlineMs) {
            request.refuse(request.needsPrimary ? RefusalReason.NO_PRIMARY : RefusalReason.NO_RECENT_POSITION);
            return;
        }
        request.attempts = 0;
        parked.add(request);
        request.cancelHandler = parked::remove;
        if (!retryScheduled) {
            retryScheduled = true;
            executor.schedule(this::onRetryTimer, PARKED_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void onRetryTimer() {
        retryScheduled = false;
        retryParked();
    }

    private void retryParked() {
        List<ConnectionRequest> waiting = List.copyOf(parked);
        parked.clear();
        waiting.forEach(request -> request.cancelHandler = null);
        waiting.forEach(this::route);
    }
}
