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
final class Placement {
    /** Kept free of each database's connections for control. */
    private static final int RESERVED_CONNECTIONS = 3;

    /** Taken off an allowance for the rounding of ages. */
    private static final long AGE_MARGIN_MS = 100;

    /** A sample older than this part of the allowance is renewed ahead of need. */
    private static final double RENEW_PART = 0.5;

    private static final long RETRY_MS = 25;

    /** A promoted instance begins to lead some hundred ms after the order. */
    private static final long NOT_PRIMARY_PAUSE_MS = 60;

    /** Between two looks for silent instances and for units that can't start in time any more. */
    private static final long CHECK_MS = 50;

    /** A look that comes so much later than planned shows that this proxy itself stood still. */
    private static final long OWN_PAUSE_MS = 150;

    private static final int MAX_ATTEMPTS = 6;

    /** A departing primary without a successor serves until shortly before the limit for new work. */
    private static final long DEPARTING_PRIMARY_MS = 4_000;

    private static final double SAME_DOMAIN_RTT_MS = 0.5;
    private static final double SAME_REGION_RTT_MS = 4;
    private static final double OTHER_REGION_RTT_MS = 24;

    private final String failureDomain;
    private final Map<String, String> regionByDomain;
    private final SqlConnector connector;
    private final Clock clock;
    private final ClockJumpDetector guard;
    private final ScheduledExecutorService loop;
    private final EventLog events;
    private final SessionMetrics metrics;
    private final Map<String, InstanceLink> links = new HashMap<>();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final Map<String, Long> departingSinceMs = new HashMap<>();

    /** Instances that said they are not the primary, and until when they are not asked again. */
    private final Map<String, Long> notPrimaryUntilMs = new HashMap<>();

    private final Deque<ConnectionRequest> parked = new ArrayDeque<>();
    private SystemView view = SystemView.NONE;
    private boolean retryScheduled;
    private boolean checkScheduled;
    private long checkedMs;
    private boolean controlHeard = true;
    private PrimaryProbe probe;

    /** Asks a primary for its position; the answer goes to {@link ServiceState#onProof}. */
    interface PrimaryProbe {
        void ask(String service);
    }

    Placement(
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
        this.guard = guard;
        this.loop = loop;
        this.events = events;
    }

    void setProbe(PrimaryProbe primaryProbe) {
        probe = primaryProbe;
    }

    SystemView view() {
        return view;
    }

    ServiceState service(String name) {
        return services.computeIfAbsent(name, key -> new ServiceState());
    }

    /** Takes a newer view over. */
    void onView(SystemView next) {
        view = next;
        notPrimaryUntilMs.clear();
        Map<String, DatabaseInstance> present = new HashMap<>();
        next.instances().forEach(instance -> present.put(instance.instanceId(), instance));
        departingSinceMs.keySet().removeIf(id -> !present.containsKey(id));
        for (InstanceLink link : List.copyOf(links.values())) {
            DatabaseInstance now = present.get(link.instance().instanceId());
            boolean same = now != null
                    && now.bornMs() == link.instance().bornMs()
                    && now.address().equals(link.instance().address());
            if (!same) {
                links.remove(link.instance().instanceId());
                link.close();
            } else {
                link.resize(connectionLimit(now), next.proxies());
            }
        }
        for (DatabaseInstance instance : next.instances()) {
            if (instance.draining()) {
                departingSinceMs.putIfAbsent(instance.instanceId(), clock.millis());
            }
        }
        retryParked();
    }

    /** An instance answered that it is not the primary. */
    void onNotPrimary(String instanceId) {
        Long deniedMs = notPrimaryUntilMs.put(instanceId, clock.millis() + NOT_PRIMARY_PAUSE_MS);
        if (deniedMs == null) {
            events.record("not_primary", "instance", instanceId, "pause_ms", NOT_PRIMARY_PAUSE_MS);
        }
        InstanceLink link = links.get(instanceId);
        if (link != null) {
            service(link.instance().service()).onDenied(clock.millis());
        }
    }

    /** Whether control is heard, and the view with it up to date. */
    void onControlHeard(boolean heard) {
        controlHeard = heard;
        if (heard) {
            services.values().forEach(ServiceState::forgetDenials);
        }
    }

    /** An instance proved to be the primary. */
    void onProof(DatabaseInstance instance, long askedMs, long askedEpoch, LogPosition position) {
        notPrimaryUntilMs.remove(instance.instanceId());
        ServiceState state = service(instance.service());
        state.checkEpoch(guard.epoch());
        state.onProof(instance.instanceId(), askedMs, askedEpoch, position);
        if (!parked.isEmpty()) {
            retryParked();
        }
    }

    /** Places a unit whose last place could not run it. */
    void retry(ConnectionRequest unit, RetryReason reason) {
        metrics.onRetry(reason);
        place(unit);
    }

    /** Places a unit. */
    void place(ConnectionRequest unit) {
        if (unit.ended) {
            return;
        }
        if (unit.attempts++ >= MAX_ATTEMPTS) {
            unit.refuse(RefusalReason.ATTEMPTS_SPENT);
            return;
        }
        Optional<InstanceLink> link = unit.needsPrimary ? primaryLink(unit) : readLink(unit);
        if (link.isPresent()) {
            link.get().acquire(unit);
            scheduleCheck();
        } else if (!unit.ended) {
            park(unit);
        }
    }

    private Optional<InstanceLink> primaryLink(ConnectionRequest unit) {
        String service = unit.route.service();
        String provenId = service(service).provenId();
        Optional<DatabaseInstance> announced = view.primary(service).filter(this::mayLead);
        // The primary before a promotion may lead on until it takes effect; what it acknowledged meanwhile would be
        // lost.
        boolean superseded = controlHeard && view.knowsPromoted(service);
        Optional<DatabaseInstance> proven = view.instances(service).stream()
                .filter(instance -> !superseded)
                .filter(instance -> instance.instanceId().equals(provenId))
                .filter(this::mayLead)
                .findFirst();
        Optional<InstanceLink> link =
                announced.or(() -> proven).or(() -> searched(service)).map(this::link);
        if (link.isPresent() && !link.get().isReachable() && link.get().isOutOfReach()) {
            service(service).onUnreachable(clock.millis());
        }
        return link.filter(InstanceLink::isReachable);
    }

    /**
     * Some instance that has not denied to lead a moment ago. Without control nobody tells who was promoted; whoever is asked proves
     * it or refuses, and nothing ran.
     */
    private Optional<DatabaseInstance> searched(String service) {
        if (controlHeard) {
            return Optional.empty();
        }
        return view.instances(service).stream()
                .filter(this::mayLead)
                .filter(instance -> link(instance).isReachable())
                .findFirst();
    }

    /** A position that control was told by a proven primary, no older than the time given. */
    void onSharedPosition(String service, long askedMs, long askedEpoch, LogPosition position) {
        ServiceState state = service(service);
        state.checkEpoch(guard.epoch());
        state.addSample(askedMs, askedEpoch, position);
        retryParked();
    }

    /** Whether a service's primary has been out of reach, or not to be found, for longer than a time. */
    boolean lacksPrimary(long longerThanMs) {
        long nowMs = clock.millis();
        return services.values().stream()
                .anyMatch(
                        state -> state.lacksPrimarySinceMs() > 0 && nowMs - state.lacksPrimarySinceMs() > longerThanMs);
    }

    /** Whether reads wait for positions that this proxy can't ask for itself. */
    boolean wantsPositions() {
        return services.values().stream().anyMatch(state -> state.positionsWanted);
    }

    private boolean mayLead(DatabaseInstance instance) {
        Long sinceMs = departingSinceMs.get(instance.instanceId());
        boolean departed = sinceMs != null && clock.millis() - sinceMs > DEPARTING_PRIMARY_MS;
        boolean denied = notPrimaryUntilMs.getOrDefault(instance.instanceId(), Long.MIN_VALUE) > clock.millis();
        return !departed && !denied;
    }

    private Optional<InstanceLink> readLink(ConnectionRequest unit) {
        String service = unit.route.service();
        ServiceState state = service(service);
        state.checkEpoch(guard.epoch());
        long allowanceMs = Math.max(0, unit.route.maxStalenessMs() - AGE_MARGIN_MS);
        Optional<Sample> sample = state.samples.oldestWithin(unit.arrivedMs, allowanceMs);
        Optional<Sample> latest = state.samples.latest();
        boolean ageing = latest.isEmpty() || clock.millis() - latest.get().requestedAtMs() > RENEW_PART * allowanceMs;
        if (ageing) {
            probe.ask(service);
            state.positionsWanted |= state.unreachableSinceMs() > 0;
        }
        if (sample.isEmpty()) {
            unit.requiredPosition = Optional.empty();
            return Optional.empty();
        }
        LogPosition position = sample.get().position();
        unit.requiredPosition = Optional.of(
                unit.route.kind() == RouteKind.READ_YOUR_WRITES
                        ? LogPosition.max(position, unit.minPosition)
                        : position);
        List<Candidate> candidates = new ArrayList<>();
        for (DatabaseInstance instance : view.instances(service)) {
            if (!instance.draining() && !unit.triedInstanceIds.contains(instance.instanceId())) {
                InstanceLink link = link(instance);
                if (link.isReachable()) {
                    candidates.add(candidate(link));
                }
            }
        }
        if (candidates.isEmpty() && unit.lastQueueRefusal != null) {
            unit.refuse(unit.lastQueueRefusal);
        }
        return InstanceSelector.select(candidates).map(best -> links.get(best.instanceId()));
    }

    private Candidate candidate(InstanceLink link) {
        return new Candidate(
                link.instance().instanceId(),
                roundTripMs(link.instance()),
                link.serviceMs(),
                link.outstanding(),
                link.gate().parallel(),
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

    InstanceLink link(DatabaseInstance instance) {
        return links.computeIfAbsent(
                instance.instanceId(),
                id -> new InstanceLink(
                        instance, connectionLimit(instance), view.proxies(), connector, clock, events, this::retry));
    }

    /** This proxy's part of the connections that a database takes from all of them. */
    private int connectionLimit(DatabaseInstance instance) {
        int most = view.configuration()
                .service(instance.service())
                .map(RoutedService::maxConnections)
                .orElse(0);
        return Math.max(1, (most - RESERVED_CONNECTIONS) / Math.max(1, view.proxies()));
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            checkedMs = clock.millis();
            loop.schedule(this::check, CHECK_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        checkScheduled = false;
        boolean stoodStill = clock.millis() - checkedMs > CHECK_MS + OWN_PAUSE_MS;
        List.copyOf(links.values()).forEach(link -> link.check(stoodStill));
        if (links.values().stream().anyMatch(InstanceLink::isWatched)) {
            scheduleCheck();
        }
    }

    private void park(ConnectionRequest unit) {
        unit.triedInstanceIds.clear();
        unit.lastQueueRefusal = null;
        if (clock.millis() >= unit.startDeadlineMs) {
            unit.refuse(unit.needsPrimary ? RefusalReason.NO_PRIMARY : RefusalReason.NO_RECENT_POSITION);
            return;
        }
        unit.attempts = 0;
        parked.add(unit);
        unit.cancelHandler = parked::remove;
        if (!retryScheduled) {
            retryScheduled = true;
            loop.schedule(this::onRetry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void onRetry() {
        retryScheduled = false;
        retryParked();
    }

    private void retryParked() {
        List<ConnectionRequest> waiting = List.copyOf(parked);
        parked.clear();
        waiting.forEach(unit -> unit.cancelHandler = null);
        waiting.forEach(this::place);
    }
}
