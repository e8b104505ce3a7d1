package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.control.view.ViewPublisher;
import org.hornbeamspread.core.failover.FailoverEffect;
import org.hornbeamspread.core.failover.FailoverInput;
import org.hornbeamspread.core.failover.FailoverTimings;
import org.hornbeamspread.core.failover.FailureDetector;
import org.hornbeamspread.core.failover.GroupFailover;
import org.hornbeamspread.core.failover.GroupRecord;
import org.hornbeamspread.core.failover.PromotionRules;
import org.hornbeamspread.core.failover.Registration;
import org.hornbeamspread.core.failover.SafePromotionRules;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRegistry;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.membership.HolderAssignment;
import org.hornbeamspread.core.membership.HolderCandidates;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.DatabaseObservation;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.HeldDatabase;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewLease;

/**
 * The leadership of one member during one consensus term: the failover of each group, the assignment of holders, and
 * the published view. A new session is created for each leadership, from the log's state and the databases that have
 * announced themselves to this member, so that no state of an earlier leadership is carried over. The session uses no
 * threads and no sockets: {@link #step} returns effects, and the coordinator executes them. Confined to the
 * coordinator's thread.
 */
final class LeaderSession {
    /** Groups without a pending promotion are stepped at this interval, other groups at each step. */
    private static final Duration IDLE_GROUP_STEP_INTERVAL = Duration.ofMillis(100);

    /** A primary is probed after a silence of two thirds of the heartbeat timeout. */
    private static final int PROBE_SILENCE_DENOMINATOR = 3;

    private static final int PROBE_SILENCE_NUMERATOR = 2;

    private final Clock clock;
    private final FailoverTimings timings;
    private final DatabaseRegistry registry;
    private final FailureDetector detector;
    private final ControlMetrics metrics;
    private final PromotionRules rules = new SafePromotionRules();
    private final ViewPublisher view;
    private final HolderAssignment holders;
    private final Map<String, GroupState> groups = new LinkedHashMap<>();
    private final Map<String, Instant> lastProbeTimes = new HashMap<>();

    /** The state of the log that was last applied to the groups; null before the first. */
    private ControlState appliedState;

    private Set<String> departingByOperator = Set.of();
    private HolderCandidates candidates = new HolderCandidates(List.of());

    /** Whether a database has no holder yet or waits for the release by its previous holder. */
    private boolean holderAssignmentPending = true;

    /** Whether proxies joined, expired or changed since the last step. One assignment covers all changes of a step. */
    private boolean proxiesChanged;

    private Instant idleGroupsSteppedAt = Instant.EPOCH;

    LeaderSession(
            long leaderTerm,
            Duration lease,
            Clock clock,
            FailoverTimings timings,
            DatabaseRegistry registry,
            FailureDetector detector,
            ControlMetrics metrics) {
        this.clock = clock;
        this.timings = timings;
        this.registry = registry;
        this.detector = detector;
        this.metrics = metrics;
        this.view = new ViewPublisher(leaderTerm, lease, clock);
        this.holders = new HolderAssignment(leaderTerm);
    }

    ViewPublisher view() {
        return view;
    }

    Optional<GroupState> group(String name) {
        return Optional.ofNullable(groups.get(name));
    }

    /** Whether a promotion is in progress. Its completion waits for the proxies to confirm its term. */
    boolean hasPromotionInProgress() {
        return groups.values().stream()
                .anyMatch(group -> group.isPromotionPending() && group.record().term() > 0);
    }

    /** Applies the log's state to the groups and the view. */
    void update(ControlState newState) {
        if (newState.equals(appliedState)) {
            return;
        }
        appliedState = newState;
        Map<String, GroupRecord> records = new HashMap<>();
        for (GroupTerm term : newState.getGroupsList()) {
            records.put(term.getGroup(), ViewMessages.record(term));
        }
        Map<String, List<Registration>> registrations = new HashMap<>();
        newState.getDatabasesList()
                .forEach(database -> registrations
                        .computeIfAbsent(database.getGroup(), name -> new ArrayList<>())
                        .add(ViewMessages.registration(database)));
        Set<String> departing = Set.copyOf(newState.getDepartingDatabaseIdsList());
        if (!departing.equals(departingByOperator)) {
            departingByOperator = departing;
            groups.values().forEach(GroupState::markChanged);
        }
        view.publish(newState.getConfiguration());
        Set<String> declared = new HashSet<>();
        for (GroupDefinition definition : newState.getConfiguration().getGroupsList()) {
            declared.add(definition.getName());
            groups.computeIfAbsent(definition.getName(), name -> newGroup(definition))
                    .update(
                            definition,
                            records.getOrDefault(definition.getName(), GroupRecord.initial(definition.getName())),
                            registrations.getOrDefault(definition.getName(), List.of()));
        }
        List<String> removed = groups.keySet().stream()
                .filter(name -> !declared.contains(name))
                .toList();
        removed.forEach(groups::remove);
        removed.forEach(view::remove);
    }

    /** Marks groups whose databases have changed in the registry. */
    void markChanged(Collection<String> names) {
        names.forEach(name -> group(name).ifPresent(GroupState::markChanged));
        holderAssignmentPending |= !names.isEmpty();
    }

    /**
     * Records the contents of a renewal: the view version that the proxy holds, its observations of databases and,
     * while leases of earlier leaders may still run, the databases that the proxy holds. Observations of an
     * incarnation other than the announced one are ignored.
     */
    void recordRenewal(RenewView request, LiveProxy proxy) {
        view.leases().confirm(proxy.proxyId(), view.heldVersion(request));
        for (DatabaseObservation observation : request.getObservationsList()) {
            boolean current = registry.find(observation.getDatabaseId())
                    .filter(database -> database.status().incarnation() == observation.getIncarnation())
                    .isPresent();
            if (current) {
                detector.recordObservation(
                        proxy.proxyId(),
                        observation.getDatabaseId(),
                        observation.getReachable(),
                        observation.getSilentMs());
            }
        }
        if (view.leases().previousLeadersLeasesMayBeValid()) {
            adoptHeldDatabases(request, proxy);
        }
    }

    /** Grants a lease on the current view. */
    ViewLease grant(RenewView request, LiveProxy proxy, Instant arrivedAt) {
        Optional<LiveProxy> previous = view.leases().find(proxy.proxyId());
        ViewLease viewLease = view.grant(proxy, request, arrivedAt);
        metrics.countLease(viewLease.getFull());
        proxiesChanged |= previous.filter(proxy::hasSameDescription).isEmpty();
        return viewLease;
    }

    /** Expires leases, publishes changes and steps the groups. Returns the effects to execute, by group. */
    Map<String, List<FailoverEffect>> step() {
        proxiesChanged |= !view.leases().expire().isEmpty();
        Instant now = clock.instant();
        boolean idleGroupsDue = !now.isBefore(idleGroupsSteppedAt.plus(IDLE_GROUP_STEP_INTERVAL));
        if (idleGroupsDue) {
            idleGroupsSteppedAt = now;
        }
        publish();
        long oldestVersion = view.leases().oldestActiveVersion();
        Map<String, List<FailoverEffect>> effects = new LinkedHashMap<>();
        for (GroupState group : groups.values()) {
            if (idleGroupsDue || group.isPromotionPending()) {
                List<FailoverEffect> groupEffects = group.failover().step(failoverInput(group, oldestVersion));
                if (!groupEffects.isEmpty()) {
                    effects.put(group.name(), groupEffects);
                }
            }
        }
        metrics.setLeaderState(true, view.leases().size(), view.version());
        return effects;
    }

    /** Publishes changes of the proxies, the holders and the groups. */
    void publish() {
        publishChangedProxies();
        assignHolders();
        for (GroupState group : groups.values()) {
            if (group.getAndClearChanged()) {
                view.publish(groupView(group));
            }
        }
    }

    /** Returns the silent primaries that were not probed within the retry interval, and marks them as probed now. */
    List<AnnouncedDatabase> silentPrimariesToProbe() {
        long probeThresholdMs = timings.heartbeatTimeoutMs() * PROBE_SILENCE_NUMERATOR / PROBE_SILENCE_DENOMINATOR;
        List<AnnouncedDatabase> silent = new ArrayList<>();
        for (GroupState group : groups.values()) {
            Optional<String> primaryId = group.record().primaryId();
            if (primaryId.isPresent() && detector.silence(primaryId.get()).toMillis() > probeThresholdMs) {
                registry.find(primaryId.get()).filter(this::markProbedIfDue).ifPresent(silent::add);
            }
        }
        return silent;
    }

    /** Returns whether a database was not probed within the retry interval, and if so marks it as probed now. */
    boolean markProbedIfDue(AnnouncedDatabase database) {
        Instant now = clock.instant();
        Instant lastProbe = lastProbeTimes.get(database.databaseId());
        if (lastProbe != null && now.isBefore(lastProbe.plusMillis(timings.retryMs()))) {
            return false;
        }
        lastProbeTimes.put(database.databaseId(), now);
        return true;
    }

    private GroupState newGroup(GroupDefinition definition) {
        return new GroupState(definition, new GroupFailover(clock, rules, timings, metrics));
    }

    private void adoptHeldDatabases(RenewView request, LiveProxy proxy) {
        for (HeldDatabase held : request.getHeldList()) {
            Optional<AnnouncedDatabase> database = registry.find(held.getDatabaseId());
            if (database.isPresent() && holders.adopt(held.getDatabaseId(), proxy.proxyId(), held.getHolderEpoch())) {
                markChanged(List.of(database.get().group()));
            }
        }
    }

    private void publishChangedProxies() {
        if (!proxiesChanged) {
            return;
        }
        proxiesChanged = false;
        candidates = new HolderCandidates(view.leases().liveProxies());
        view.publishProxies();
        holderAssignmentPending = true;
    }

    private void assignHolders() {
        boolean mayAssign = !view.leases().previousLeadersLeasesMayBeValid();
        if (!holderAssignmentPending || !mayAssign) {
            return;
        }
        holderAssignmentPending = false;
        for (GroupState group : groups.values()) {
            for (AnnouncedDatabase database : group.databases(registry)) {
                boolean changed = holders.reconcile(
                        database,
                        candidates,
                        view.nextVersion(),
                        (id, version) -> view.leases().isReleased(id, version),
                        true);
                if (changed) {
                    group.markChanged();
                }
                holderAssignmentPending |= !holders.hasHolder(database.databaseId());
            }
        }
    }

    private FailoverInput failoverInput(GroupState group, long oldestVersion) {
        List<AnnouncedDatabase> databases = group.databases(registry);
        int recentPromotions = group.failover().recentPromotions();
        Map<String, Long> suspected = new HashMap<>();
        List<DatabaseStatus> statuses = new ArrayList<>();
        Map<String, String> regions = new HashMap<>();
        for (AnnouncedDatabase database : databases) {
            statuses.add(database.status());
            regions.put(database.databaseId(), database.region());
            if (detector.isSuspected(database.databaseId(), recentPromotions)) {
                suspected.put(
                        database.databaseId(),
                        detector.silence(database.databaseId()).toMillis());
            }
        }
        long neededVersion = view.versionOfTerm(group.name(), group.record().term());
        return new FailoverInput(
                group.record(),
                group.declaredDatabases(),
                statuses,
                group.registrations(),
                suspected,
                group.departing(databases, departingByOperator),
                regions,
                () -> oldestVersion >= neededVersion);
    }

    private GroupView groupView(GroupState group) {
        List<AnnouncedDatabase> databases = group.databases(registry);
        Set<String> departing = group.departing(databases, departingByOperator);
        GroupView.Builder builder = GroupView.newBuilder()
                .setGroup(group.name())
                .setTerm(group.record().term())
                .setPrimaryId(group.record().primaryId().orElse(""))
                .setWritable(group.record().writable());
        for (AnnouncedDatabase database : databases) {
            builder.addDatabases(databaseEntry(group, database, departing.contains(database.databaseId())));
        }
        return builder.build();
    }

    private DatabaseEntry databaseEntry(GroupState group, AnnouncedDatabase database, boolean departing) {
        String databaseId = database.databaseId();
        return DatabaseEntry.newBuilder()
                .setDatabaseId(databaseId)
                .setIncarnation(database.status().incarnation())
                .setEndpoint(ViewMessages.toWire(database.address()))
                .setFailureDomain(database.failureDomain())
                .setRegion(database.region())
                .setTrusted(rules.isTrusted(database.status(), group.registration(databaseId), group.record()))
                .setDeparting(departing)
                .setReachable(registry.isReachable(databaseId))
                .setSlots(database.slots())
                .setConnectionLimit(database.connectionLimit())
                .setHolderProxyId(holders.holder(databaseId).orElse(""))
                .setHolderEpoch(holders.epoch(databaseId))
                .build();
    }
}
