package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
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
 * Sends each unit to the instance that should run it.
 *
 * <p>Writes, plain transactions and the reads of primary routes go to the primary, which proves to lead by accepting a plain
 * transaction. Other reads go to whichever instance is expected to end first; the position that its log must hold comes from
 * {@link org.hornbeamspread.core.placement.PositionSamples} and the session's own commits, and the instance checks it. A unit
 * for which no instance is known waits a little, since a promotion may be under way, and is then refused as not run. Used on
 * the engine's thread.
 */
final class StatementRouter {
    /** Kept free of each database's connections for control. */
    private static final int RESERVED_CONNECTIONS = 3;

    /** Taken off an allowance for the rounding of ages. */
    private static final long STALENESS_MARGIN_MS = 100;

    /** A sample older than this part of the allowance is renewed ahead of need. */
    private static final double SAMPLE_REFRESH_FRACTION = 0.5;

    private static final long PARKED_RETRY_INTERVAL_MS = 25;

    /** A promoted instance begins to lead some hundred ms after the order. */
    private static final long NOT_PRIMARY_BACKOFF_MS = 60;

    /** Between two looks for silent instances and for units that can't start in time any more. */
    private static final long CHECK_INTERVAL_MS = 50;

    /** A look that comes so much later than planned shows that this proxy itself stood still. */
    private static final long LOCAL_PAUSE_THRESHOLD_MS = 150;

    private static final int MAX_ATTEMPTS = 6;

    /** A departing primary without a successor serves until shortly before the limit for new work. */
    private static final long DRAINING_PRIMARY_LIMIT_MS = 4_000;

    private static final double SAME_DOMAIN_RTT_MS = 0.5;
    private static final double SAME_REGION_RTT_MS = 4;
    private static final double OTHER_REGION_RTT_MS = 24;

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

    /** Instances that said they are not the primary, and until when they are not asked again. */
    private final Map<String, Long> notPrimaryUntilMs = new HashMap<>();

    private final Deque<Unit> parked = new ArrayDeque<>();
    private SystemView view = SystemView.NONE;
    private boolean retryScheduled;
    private boolean checkScheduled;
    private long checkScheduledAtMs;
    private boolean controlReachable = true;
    private PrimaryProbe probe;

    /** Asks a primary for its position; the answer goes to {@link ServiceState#onPrimaryProof}. */
    interface PrimaryProbe {
        void requestPosition(String service);
    }

    StatementRouter(
            String failureDomain,
            Map<String, String> regionByDomain,
            SqlConnector connector,
            Clock clock,
            ClockJumpDetector guard,
            ScheduledExecutorService loop,
            EventLog events,
            SessionMetrics metrics) {
        this.metrics = metrics;
        this.failureDomain = failureDomain;
        this.regionByDomain = Map.copyOf(regionByDomain);
        this.connector = connector;
        this.clock = clock;
        this.clockJumpDetector = guard;
        this.executor = loop;
        this.events = events;
    }

    void setPrimaryProbe(PrimaryProbe primaryProbe) {
        probe = primaryProbe;
    }

    SystemView view() {
        return view;
    }

    ServiceState serviceState(String name) {
        return serviceStates.computeIfAbsent(name, key -> new ServiceState());
    }

    /** Takes a newer view over. */
    void onView(SystemView next) {
        view = next;
        notPrimaryUntilMs.clear();
        Map<String, DatabaseInstance> present = new HashMap<>();
        next.instances().forEach(instance -> present.put(instance.instanceId(), instance));
        drainingSinceMs.keySet().removeIf(id -> !present.containsKey(id));
        for (InstanceConnectionPool link : List.copyOf(pools.values())) {
            DatabaseInstance now = present.get(link.instance().instanceId());
            boolean same = now != null
                    && now.bornMs() == link.instance().bornMs()
                    && now.address().equals(link.instance().address());
            if (!same) {
                pools.remove(link.instance().instanceId());
                link.close();
            } else {
                link.resize(connectionLimit(now), next.proxyCount());
            }
        }
        for (DatabaseInstance instance : next.instances()) {
            if (instance.draining()) {
                drainingSinceMs.putIfAbsent(instance.instanceId(), clock.millis());
            }
        }
        retryParked();
    }

    /** An instance answered that it is not the primary. */
    void onNotPrimary(String instanceId) {
        Long deniedMs = notPrimaryUntilMs.put(instanceId, clock.millis() + NOT_PRIMARY_BACKOFF_MS);
        if (deniedMs == null) {
            events.record("not_primary", "instance", instanceId, "pause_ms", NOT_PRIMARY_BACKOFF_MS);
        }
        InstanceConnectionPool link = pools.get(instanceId);
        if (link != null) {
            serviceState(link.instance().service()).onNotPrimary(clock.millis());
        }
    }

    /** Whether control is heard, and the view with it up to date. */
    void onControlReachable(boolean heard) {
        controlReachable = heard;
        if (heard) {
            serviceStates.values().forEach(ServiceState::clearNotPrimary);
        }
    }

    /** An instance proved to be the primary. */
    void onPrimaryProof(DatabaseInstance instance, long askedMs, long askedEpoch, LogPosition position) {
        notPrimaryUntilMs.remove(instance.instanceId());
        ServiceState state = serviceState(instance.service());
        state.updateClockEpoch(clockJumpDetector.epoch());
        state.onPrimaryProof(instance.instanceId(), askedMs, askedEpoch, position);
        if (!parked.isEmpty()) {
            retryParked();
        }
    }

    /** Places a unit whose last place could not run it. */
    void retry(Unit unit, RetryReason reason) {
        metrics.onRetry(reason);
        route(unit);
    }

    /** Places a unit. */
    void route(Unit unit) {
        if (unit.ended) {
            return;
        }
        if (unit.attempts++ >= MAX_ATTEMPTS) {
            unit.refuse(RefusalReason.ATTEMPTS_SPENT);
            return;
        }
        Optional<InstanceConnectionPool> link = unit.needsPrimary ? primaryPool(unit) : readPool(unit);
        if (link.isPresent()) {
            link.get().acquire(unit);
            scheduleCheck();
        } else if (!unit.ended) {
            park(unit);
        }
    }

    private Optional<InstanceConnectionPool> primaryPool(Unit unit) {
        String service = unit.route.service();
        String provenId = serviceState(service).provenPrimaryId();
        Optional<DatabaseInstance> announced = view.primary(service).filter(this::mayBePrimary);
        // The primary before a promotion may lead on until it takes effect; what it acknowledged meanwhile would be
        // lost.
        boolean superseded = controlReachable && view.hasPromotedInstance(service);
        Optional<DatabaseInstance> proven = view.instances(service).stream()
                .filter(instance -> !superseded)
                .filter(instance -> instance.instanceId().equals(provenId))
                .filter(this::mayBePrimary)
                .findFirst();
        Optional<InstanceConnectionPool> link =
                announced.or(() -> proven).or(() -> possiblePrimary(service)).map(this::pool);
        if (link.isPresent() && !link.get().isReachable() && link.get().hasConnectFailed()) {
            serviceState(service).onPrimaryUnreachable(clock.millis());
        }
        return link.filter(InstanceConnectionPool::isReachable);
    }

    /**
     * Some instance that has not denied to lead a moment ago. Without control nobody tells who was promoted; whoever is asked proves
     * it or refuses, and nothing ran.
     */
    private Optional<DatabaseInstance> possiblePrimary(String service) {
        if (controlReachable) {
            return Optional.empty();
        }
        return view.instances(service).stream()
                .filter(this::mayBePrimary)
                .filter(instance -> pool(instance).isReachable())
                .findFirst();
    }

    /** A position that control was told by a proven primary, no older than the time given. */
    void onSharedPosition(String service, long askedMs, long askedEpoch, LogPosition position) {
        ServiceState state = serviceState(service);
        state.updateClockEpoch(clockJumpDetector.epoch());
        state.addSample(askedMs, askedEpoch, position);
        retryParked();
    }

    /** Whether a service's primary has been out of reach, or not to be found, for longer than a time. */
    boolean lacksPrimary(long longerThanMs) {
        long nowMs = clock.millis();
        return serviceStates.values().stream()
                .anyMatch(state ->
                        state.withoutPrimarySinceMs() > 0 && nowMs - state.withoutPrimarySinceMs() > longerThanMs);
    }

    /** Whether reads wait for positions that this proxy can't ask for itself. */
    boolean wantsPositions() {
        return serviceStates.values().stream().anyMatch(state -> state.positionsWanted);
    }

    private boolean mayBePrimary(DatabaseInstance instance) {
        Long sinceMs = drainingSinceMs.get(instance.instanceId());
        boolean departed = sinceMs != null && clock.millis() - sinceMs > DRAINING_PRIMARY_LIMIT_MS;
        boolean denied = notPrimaryUntilMs.getOrDefault(instance.instanceId(), Long.MIN_VALUE) > clock.millis();
        return !departed && !denied;
    }

    private Optional<InstanceConnectionPool> readPool(Unit unit) {
        String service = unit.route.service();
        ServiceState state = serviceState(service);
        state.updateClockEpoch(clockJumpDetector.epoch());
        long allowanceMs = Math.max(0, unit.route.maxStalenessMs() - STALENESS_MARGIN_MS);
        Optional<Sample> sample = state.positionSamples.oldestWithin(unit.arrivedMs, allowanceMs);
        Optional<Sample> latest = state.positionSamples.latest();
        boolean ageing = latest.isEmpty()
                || clock.millis() - latest.get().requestedAtMs() > SAMPLE_REFRESH_FRACTION * allowanceMs;
        if (ageing) {
            probe.requestPosition(service);
            state.positionsWanted |= state.unreachableSinceMs() > 0;
        }
        if (sample.isEmpty()) {
            unit.after = Optional.empty();
            return Optional.empty();
        }
        LogPosition position = sample.get().position();
        unit.after = Optional.of(
                unit.route.kind() == RouteKind.READ_YOUR_WRITES ? LogPosition.max(position, unit.floor) : position);
        List<Candidate> candidates = new ArrayList<>();
        for (DatabaseInstance instance : view.instances(service)) {
            if (!instance.draining() && !unit.tried.contains(instance.instanceId())) {
                InstanceConnectionPool link = pool(instance);
                if (link.isReachable()) {
                    candidates.add(candidate(link));
                }
            }
        }
        if (candidates.isEmpty() && unit.queueRefusal != null) {
            unit.refuse(unit.queueRefusal);
        }
        return InstanceSelector.select(candidates).map(best -> pools.get(best.instanceId()));
    }

    private Candidate candidate(InstanceConnectionPool link) {
        return new Candidate(
                link.instance().instanceId(),
                roundTripMs(link.instance()),
                link.serviceMs(),
                link.outstanding(),
                link.limiter().concurrencyLimit(),
                link.silentMs(),
                link.laggingForMs() > 0 ? link.serviceMs() + OTHER_REGION_RTT_MS : 0);
    }

    private double roundTripMs(DatabaseInstance instance) {
        if (instance.failureDomain().equals(failureDomain)) {
            return SAME_DOMAIN_RTT_MS;
        }
        String region = regionByDomain.getOrDefault(instance.failureDomain(), "");
        boolean same = region.equals(regionByDomain.getOrDefault(failureDomain, "-"));
        return same ? SAME_REGION_RTT_MS : OTHER_REGION_RTT_MS;
    }

    InstanceConnectionPool pool(DatabaseInstance instance) {
        return pools.computeIfAbsent(
                instance.instanceId(),
                id -> new InstanceConnectionPool(
                        instance, connectionLimit(instance), view.proxyCount(), connector, clock, events, this::retry));
    }

    /** This proxy's part of the connections that a database takes from all of them. */
    private int connectionLimit(DatabaseInstance instance) {
        int most = view.configuration()
                .service(instance.service())
                .map(RoutedService::maxConnections)
                .orElse(0);
        return Math.max(1, (most - RESERVED_CONNECTIONS) / Math.max(1, view.proxyCount()));
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
        boolean stoodStill = clock.millis() - checkScheduledAtMs > CHECK_INTERVAL_MS + LOCAL_PAUSE_THRESHOLD_MS;
        List.copyOf(pools.values()).forEach(link -> link.check(stoodStill));
        if (pools.values().stream().anyMatch(InstanceConnectionPool::needsCheck)) {
            scheduleCheck();
        }
    }

    private void park(Unit unit) {
        unit.tried.clear();
        unit.queueRefusal = null;
        if (clock.millis() >= unit.startByMs) {
            unit.refuse(unit.needsPrimary ? RefusalReason.NO_PRIMARY : RefusalReason.NO_RECENT_POSITION);
            return;
        }
        unit.attempts = 0;
        parked.add(unit);
        unit.cancellation = parked::remove;
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
        List<Unit> waiting = List.copyOf(parked);
        parked.clear();
        waiting.forEach(unit -> unit.cancellation = null);
        waiting.forEach(this::route);
    }
}
