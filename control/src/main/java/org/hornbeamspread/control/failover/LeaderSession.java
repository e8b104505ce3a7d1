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
 * One member's leadership of one consensus term: the groups' failovers, the holders, and the view. It is made anew with
 * each leadership, from the log's state and the databases that announced themselves to this member meanwhile, so that
 * nothing of an earlier leadership can linger. No threads and no sockets: effects are collected and taken by the
 * coordinator. Confined to the coordinator's thread.
 */
final class LeaderSession {
    private static final Duration IDLE_GROUP_STEP_INTERVAL = Duration.ofMillis(100);
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

    /** The log's state that the groups were last brought up to; null before the first. */
    private ControlState appliedState;

    private Set<String> departingByOperator = Set.of();
    private HolderCandidates candidates = new HolderCandidates(List.of());

    /** Whether some database waits for a holder or for the release by its old one. */
    private boolean holderAssignmentPending = true;

    /** Whether proxies came, went or changed since the last step; many that come together cost one assignment. */
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

    /** Whether a promotion waits until the proxies have confirmed its term. */
    boolean hasPromotionInProgress() {
        return groups.values().stream()
                .anyMatch(group -> group.isPromotionPending() && group.record().term() > 0);
    }

    /** Brings the groups up to the log's state. */
    void update(ControlState next) {
        if (next.equals(appliedState)) {
            return;
        }
        appliedState = next;
        Map<String, GroupRecord> records = new HashMap<>();
        for (GroupTerm term : next.getGroupsList()) {
            records.put(term.getGroup(), ViewMessages.record(term));
        }
        Map<String, List<Registration>> registrations = new HashMap<>();
        next.getDatabasesList()
                .forEach(database -> registrations
                        .computeIfAbsent(database.getGroup(), name -> new ArrayList<>())
                        .add(ViewMessages.registration(database)));
        Set<String> departing = Set.copyOf(next.getDepartingDatabaseIdsList());
        if (!departing.equals(departingByOperator)) {
            departingByOperator = departing;
            groups.values().forEach(GroupState::markChanged);
        }
        view.publish(next.getConfiguration());
        Set<String> declared = new HashSet<>();
        for (GroupDefinition definition : next.getConfiguration().getGroupsList()) {
            declared.add(definition.getName());
            groups.computeIfAbsent(definition.getName(), name -> newGroup(definition))
                    .update(
                            definition,
                            records.getOrDefault(definition.getName(), GroupRecord.initial(definition.getName())),
                            registrations.getOrDefault(definition.getName(), List.of()));
        }
        List<String> dropped = groups.keySet().stream()
                .filter(name -> !declared.contains(name))
                .toList();
        dropped.forEach(groups::remove);
        dropped.forEach(view::remove);
    }

    /** The groups' descriptions changed in the registry. */
    void markChanged(Collection<String> names) {
        names.forEach(name -> group(name).ifPresent(GroupState::markChanged));
        holderAssignmentPending |= !names.isEmpty();
    }

    /** Takes in what a proxy says with its renewal. */
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
        if (view.leases().earlierLeasesMayRun()) {
            adoptHeldDatabases(request, proxy);
        }
    }

    /** Grants a lease on the view as it stands. */
    ViewLease grant(RenewView request, LiveProxy proxy, Instant arrivedAt) {
        Optional<LiveProxy> known = view.leases().find(proxy.proxyId());
        ViewLease answer = view.grant(proxy, request, arrivedAt);
        metrics.countLease(answer.getFull());
        proxiesChanged |= known.filter(proxy::describesSame).isEmpty();
        return answer;
    }

    /** One step of everything: returns what is to be done, by group. */
    Map<String, List<FailoverEffect>> step() {
        proxiesChanged |= !view.leases().expire().isEmpty();
        Instant now = clock.instant();
        boolean quietStep = !now.isBefore(idleGroupsSteppedAt.plus(IDLE_GROUP_STEP_INTERVAL));
        if (quietStep) {
            idleGroupsSteppedAt = now;
        }
        publish();
        long oldestVersion = view.leases().oldestVersion();
        Map<String, List<FailoverEffect>> effects = new LinkedHashMap<>();
        for (GroupState group : groups.values()) {
            if (quietStep || group.isPromotionPending()) {
                List<FailoverEffect> next = group.failover().step(failoverInput(group, oldestVersion));
                if (!next.isEmpty()) {
                    effects.put(group.name(), next);
                }
            }
        }
        metrics.setLeaderState(true, view.leases().size(), view.version());
        return effects;
    }

    /** Publishes whatever changed. */
    void publish() {
        publishChangedProxies();
        assignHolders();
        for (GroupState group : groups.values()) {
            if (group.getAndClearChanged()) {
                view.publish(groupView(group));
            }
        }
    }

    /** Primaries that have been silent for a while and were not asked lately. */
    List<AnnouncedDatabase> silentPrimariesToProbe() {
        long limitMs = timings.heartbeatTimeoutMs() * PROBE_SILENCE_NUMERATOR / PROBE_SILENCE_DENOMINATOR;
        List<AnnouncedDatabase> silent = new ArrayList<>();
        for (GroupState group : groups.values()) {
            Optional<String> primaryId = group.record().primaryId();
            if (primaryId.isPresent() && detector.silence(primaryId.get()).toMillis() > limitMs) {
                registry.find(primaryId.get()).filter(this::markProbedIfDue).ifPresent(silent::add);
            }
        }
        return silent;
    }

    /** Whether a primary may be asked for its status now. */
    boolean markProbedIfDue(AnnouncedDatabase database) {
        Instant now = clock.instant();
        Instant last = lastProbeTimes.get(database.databaseId());
        if (last != null && now.isBefore(last.plusMillis(timings.retryMs()))) {
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
        candidates = new HolderCandidates(view.leases().living());
        view.publishProxies();
        holderAssignmentPending = true;
    }

    private void assignHolders() {
        boolean mayAssign = !view.leases().earlierLeasesMayRun();
        if (!holderAssignmentPending || !mayAssign) {
            return;
        }
        holderAssignmentPending = false;
        for (GroupState group : groups.values()) {
            for (AnnouncedDatabase database : group.databases(registry)) {
                boolean changed = holders.step(
                        database,
                        candidates,
                        view.nextVersion(),
                        (id, version) -> view.leases().isOver(id, version),
                        true);
                if (changed) {
                    group.markChanged();
                }
                holderAssignmentPending |= !holders.isSettled(database.databaseId());
            }
        }
    }

    private FailoverInput failoverInput(GroupState group, long oldestVersion) {
        List<AnnouncedDatabase> databases = group.databases(registry);
        int recent = group.failover().recentPromotions();
        Map<String, Long> suspected = new HashMap<>();
        List<DatabaseStatus> statuses = new ArrayList<>();
        Map<String, String> regions = new HashMap<>();
        for (AnnouncedDatabase database : databases) {
            statuses.add(database.status());
            regions.put(database.databaseId(), database.region());
            if (detector.isSuspected(database.databaseId(), recent)) {
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
        GroupView.Builder wire = GroupView.newBuilder()
                .setGroup(group.name())
                .setTerm(group.record().term())
                .setPrimaryId(group.record().primaryId().orElse(""))
                .setWritable(group.record().writable());
        for (AnnouncedDatabase database : databases) {
            wire.addDatabases(databaseEntry(group, database, departing.contains(database.databaseId())));
        }
        return wire.build();
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
