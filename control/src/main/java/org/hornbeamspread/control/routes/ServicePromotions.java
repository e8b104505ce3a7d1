package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.failover.CommitReports;
import org.hornbeamspread.core.failover.GroupSnapshot;
import org.hornbeamspread.core.failover.MemberView;
import org.hornbeamspread.core.failover.ObservedPrimary;
import org.hornbeamspread.core.failover.PendingResume;
import org.hornbeamspread.core.failover.SyncFailoverEffect;
import org.hornbeamspread.core.failover.SyncFailoverTimings;
import org.hornbeamspread.core.failover.SyncGroupFailover;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.sql.ReplicaStatus;
import org.hornbeamspread.core.sql.SqlConnector;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ChangePendingResumes;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.SetGroupTerms;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.RouteMessages;

/** Runs a {@link SyncGroupFailover} for each service, and applies its effects. Confined to the routes thread. */
final class ServicePromotions {
    /** Share of the proxies. A primary that they can't reach is replaced, even if all other proxies can. */
    private static final double UNREACHABLE_SHARE = 0.34;

    /** Time after which a proxy counts as unable to reach a primary. Longer than two connection attempts. */
    private static final long UNREACHABLE_AFTER_MS = 900;

    /** Minimum time between two replacements of primaries that some proxies can't reach: another one may not help. */
    private static final long UNREACHABLE_REPLACEMENT_INTERVAL_MS = 10_000;

    /** Failures of a command that the database certainly does not carry out: it was not sent, or was rejected. */
    private static final Set<FailureType> NOT_CARRIED_OUT = Set.of(
            FailureType.CONNECTION_REFUSED,
            FailureType.UNKNOWN_DATABASE,
            FailureType.CONNECTION_LIMIT,
            FailureType.QUEUE_FULL);

    private final String memberId;
    private final ReplicatedLog log;
    private final DatabaseAdministration databases;
    private final InstancePromoter promoter;
    private final Clock clock;
    private final EventLog events;
    private final RouteMetrics metrics;
    private final Consumer<Runnable> routesThread;
    private final WatchingProxies watchingProxies;
    private final Map<String, DatabaseGroup> groups = new HashMap<>();

    /** The term of this member as leader, while it leads. */
    private long leaderTerm;

    ServicePromotions(
            String memberId,
            ReplicatedLog log,
            DatabaseAdministration databases,
            InstancePromoter promoter,
            Clock clock,
            EventLog events,
            RouteMetrics metrics,
            Consumer<Runnable> routesThread,
            WatchingProxies watchingProxies) {
        this.memberId = memberId;
        this.log = log;
        this.databases = databases;
        this.promoter = promoter;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.routesThread = routesThread;
        this.watchingProxies = watchingProxies;
    }

    void onLeadershipGained(long term) {
        leaderTerm = term;
        dropGroups();
    }

    void onLeadershipLost() {
        dropGroups();
        databases.retainConnections(List.of());
    }

    /** Responses to requests of a discarded group may still arrive; they cause no further effects. */
    private void dropGroups() {
        groups.values().forEach(group -> group.discarded = true);
        groups.clear();
    }

    /** Handles an announcement that the registry takes for outdated. */
    void onOutdatedAnnouncement(DatabaseInstance announced) {
        DatabaseGroup group = groups.get(announced.service());
        if (group != null) {
            group.failover.onOutdatedAnnouncement(announced.instanceId());
        }
    }

    /** Whether no promotion of a service is in progress. */
    boolean isSettled(String service) {
        DatabaseGroup group = groups.get(service);
        return group == null || group.settled;
    }

    /** Handles reports of proxies under a seal. */
    void onCommitReports() {
        List.copyOf(groups.values()).stream()
                .filter(group -> group.failover.seal().isPresent())
                .forEach(DatabaseGroup::advance);
    }

    void tick(Supplier<ControlState> state, InstanceRegistry registry, Map<String, Long> announcementTimesMs) {
        databases.retainConnections(registry.all());
        TreeSet<String> services = new TreeSet<>();
        registry.all().forEach(instance -> services.add(instance.service()));
        groups.keySet().stream()
                .filter(service -> !services.contains(service))
                .forEach(service -> watchingProxies.seal(service, Optional.empty()));
        groups.keySet().retainAll(services);
        for (String service : services) {
            DatabaseGroup group = groups.computeIfAbsent(service, name -> new DatabaseGroup(name));
            group.tick(state, registry, announcementTimesMs);
        }
    }

    /** The database group of one service, and its promotions. */
    private final class DatabaseGroup {
        private final String service;
        private final PrimaryProbe probe;
        private final SyncGroupFailover failover =
                new SyncGroupFailover(clock, SyncFailoverTimings.DEFAULT, leaderTerm);
        private final PromotionEvidence evidence;
        private List<DatabaseInstance> members = List.of();
        private List<LostCopy> lostCopies = List.of();

        private long concludedAtMs = Long.MIN_VALUE / 2;
        private boolean settled = true;

        /** False if a primary acknowledges commits that no replica holds: a promotion may lose these, and waits for none. */
        private boolean acknowledgedByReplicas = true;

        private boolean discarded;
        private Map<String, Long> lastAnnouncedAtMs = Map.of();

        /** The instance that was promoted last; empty if there is none, or while a promotion is in progress. */
        private String promotedInstanceId = "";

        private Supplier<GroupSnapshot> snapshotSupplier = () -> new GroupSnapshot(
                0,
                Optional.empty(),
                Set.of(),
                true,
                List.of(),
                List.of(),
                List.of(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                false,
                false,
                CommitReports.NONE);

        DatabaseGroup(String service) {
            this.service = service;
            this.probe = new PrimaryProbe(service, databases, watchingProxies, clock, routesThread);
            this.evidence = new PromotionEvidence(service, failover, clock, events, metrics);
        }

        void tick(Supplier<ControlState> state, InstanceRegistry registry, Map<String, Long> announcementTimesMs) {
            lastAnnouncedAtMs = announcementTimesMs;
            snapshotSupplier = () -> {
                refreshMembers(registry);
                return snapshot(state.get());
            };
            refreshMembers(registry);
            primary().ifPresent(probe::probe);
            advance();
        }

        private void refreshMembers(InstanceRegistry registry) {
            members = registry.all().stream()
                    .filter(instance -> instance.service().equals(service))
                    .toList();
            lostCopies = registry.lostCopies().stream()
                    .filter(copy -> copy.service().equals(service))
                    .toList();
        }

        /** Applies the failover's next effects in the current state. */
        private void advance() {
            if (discarded) {
                return;
            }
            GroupSnapshot snapshot = snapshotSupplier.get();
            List<SyncFailoverEffect> effects = failover.step(snapshot);
            watchingProxies.seal(service, failover.seal().filter(seal -> acknowledgedByReplicas));
            effects.forEach(effect -> apply(effect, snapshot));
            evidence.onStep(snapshot, !settled);
        }

        private GroupSnapshot snapshot(ControlState state) {
            long nowMs = clock.millis();
            GroupTerm record = state.getGroupsList().stream()
                    .filter(group -> group.getGroup().equals(service))
                    .findFirst()
                    .orElseGet(GroupTerm::getDefaultInstance);
            acknowledgedByReplicas = state.getRoutes().getServicesList().stream()
                    .noneMatch(definition -> definition.getName().equals(service) && definition.getSyncReplicas() == 0);
            settled = record.getTerm() == 0 || record.getWritable();
            promotedInstanceId = record.getWritable() ? record.getPrimaryId() : "";
            List<MemberView> memberViews = members.stream()
                    .map(member -> new MemberView(
                            member.instanceId(),
                            member.draining(),
                            member.primary(),
                            nowMs - lastAnnouncedAtMs.getOrDefault(member.instanceId(), nowMs),
                            lostCopies.stream().anyMatch(copy -> copy.address().equals(member.address())),
                            member.bornMs()))
                    .toList();
            Optional<String> primaryId = primary().map(DatabaseInstance::instanceId);
            long proofAgeMs = primaryId
                    .map(id -> Math.min(probe.proofAgeMs(id), watchingProxies.proofAgeMs(id)))
                    .orElse(Long.MAX_VALUE / 4);
            return new GroupSnapshot(
                    record.getTerm(),
                    record.getPrimaryId().isEmpty() ? Optional.empty() : Optional.of(record.getPrimaryId()),
                    Set.copyOf(record.getUnsettledIdsList()),
                    record.getWritable(),
                    memberViews,
                    lostCopies,
                    record.getPendingResumesList().stream()
                            .map(RouteMessages::pendingResume)
                            .toList(),
                    primaryId.flatMap(probe::latestProof),
                    primaryId,
                    proofAgeMs,
                    primaryId.map(watchingProxies::stalledWriteMs).orElse(0L),
                    probe.isRefused(),
                    primaryId.filter(this::isUnreachableFromProxies).isPresent(),
                    acknowledgedByReplicas ? commitReports(record) : CommitReports.NONE);
        }

        /** The reports of proxies to this leader, and those to the leaders before it that began the promotion in progress. */
        private CommitReports commitReports(GroupTerm record) {
            CommitReports reports = watchingProxies.commitReports(service, settled ? 0 : record.getTerm());
            AcknowledgedCommits committed = new AcknowledgedCommits(
                    Envelopes.position(record.getAcknowledgedCertain()),
                    Envelopes.position(record.getAcknowledgedPossible()));
            return new CommitReports(
                    AcknowledgedCommits.max(reports.acknowledged(), committed), reports.pending(), reports.silent());
        }

        private boolean isUnreachableFromProxies(String primaryId) {
            return clock.millis() - concludedAtMs > UNREACHABLE_REPLACEMENT_INTERVAL_MS
                    && watchingProxies.unreachableShare(primaryId, UNREACHABLE_AFTER_MS) >= UNREACHABLE_SHARE;
        }

        private Optional<DatabaseInstance> primary() {
            return ObservedPrimary.select(members, promotedInstanceId, probe.provenInstanceId(), lastAnnouncedAtMs);
        }

        private void apply(SyncFailoverEffect effect, GroupSnapshot snapshot) {
            metrics.onPromotionStep(effect);
            if (!(effect instanceof SyncFailoverEffect.Resume)) {
                events.record(
                        "promotion_step",
                        "service",
                        service,
                        "step",
                        effect,
                        "outage_ms",
                        failover.outageMs(),
                        "proof_age_ms",
                        snapshot.primaryProofAgeMs(),
                        "stalled_write_ms",
                        snapshot.stalledWriteMs());
            }
            if (effect instanceof SyncFailoverEffect.RaiseToken raise) {
                commitGroupTerm(
                        raise.expectedToken(),
                        raise.expectedToken() + 1,
                        "",
                        false,
                        raise.unsettledChoices(),
                        snapshot.commitReports().acknowledged());
            } else if (effect instanceof SyncFailoverEffect.Choose choose) {
                evidence.record(snapshot);
                commitGroupTerm(
                        choose.token(),
                        choose.token(),
                        choose.instanceId(),
                        false,
                        snapshot.unsettledChoices(),
                        snapshot.commitReports().acknowledged());
            } else if (effect instanceof SyncFailoverEffect.Conclude conclude) {
                concludedAtMs = clock.millis();
                commitGroupTerm(
                        conclude.token(),
                        conclude.token(),
                        conclude.instanceId(),
                        true,
                        conclude.unsettledChoices(),
                        AcknowledgedCommits.NONE);
            } else if (effect instanceof SyncFailoverEffect.Promote promote) {
                requestPromotion(promote);
            } else if (effect instanceof SyncFailoverEffect.Recover recover) {
                commitRecovery(recover.copies());
            } else if (effect instanceof SyncFailoverEffect.CommitResumes resumes) {
                commitResumes(resumes);
            } else if (effect instanceof SyncFailoverEffect.EndResumes ended) {
                commitResumeEnds(ended.resumes());
            } else if (effect instanceof SyncFailoverEffect.CheckProcessEnd check) {
                checkProcessEnd(check.copy());
            } else {
                applyDatabaseCommand(effect);
            }
        }

        private void commitGroupTerm(
                long expectedToken,
                long token,
                String instanceId,
                boolean concluded,
                Set<String> unsettledIds,
                AcknowledgedCommits acknowledged) {
            GroupTerm.Builder newTerm = GroupTerm.newBuilder()
                    .setGroup(service)
                    .setExpectedTerm(expectedToken)
                    .setTerm(token)
                    .setPrimaryId(instanceId)
                    .setWritable(concluded)
                    .addAllUnsettledIds(new TreeSet<>(unsettledIds));
            if (!acknowledged.equals(AcknowledgedCommits.NONE)) {
                newTerm.setAcknowledgedCertain(Envelopes.position(acknowledged.certain()))
                        .setAcknowledgedPossible(Envelopes.position(acknowledged.possible()));
            }
            log.propose(ControlCommand.newBuilder()
                            .setSetGroupTerms(SetGroupTerms.newBuilder().addGroups(newTerm))
                            .build())
                    .whenComplete((result, error) -> routesThread.accept(() -> {
                        Optional<FailureException> failure =
                                error != null ? Optional.of(FailureException.of(error)) : result.failure();
                        failure.ifPresent(cause -> events.record(
                                "promotion_commit_failed",
                                "service",
                                service,
                                "token",
                                token,
                                "cause",
                                cause.getMessage()));
                        failover.onLogCommitEnded(failure.isEmpty());
                        if (failure.isEmpty()) {
                            advance();
                        }
                    }));
        }

        /** Commits the recovery of lost copies. After a failure, the failover decides and proposes it again. */
        private void commitRecovery(List<LostCopy> copies) {
            ChangeInstances.Builder change = ChangeInstances.newBuilder();
            copies.forEach(copy -> change.addRecovered(RouteMessages.toWire(copy)));
            log.propose(ControlCommand.newBuilder().setChangeInstances(change).build())
                    .whenComplete((result, error) -> events.record(
                            "lost_copies_recovered",
                            "service",
                            service,
                            "copies",
                            copies,
                            "outcome",
                            error == null
                                    ? "committed"
                                    : FailureException.of(error).getMessage()));
        }

        private void commitResumes(SyncFailoverEffect.CommitResumes resumes) {
            ChangePendingResumes.Builder change =
                    ChangePendingResumes.newBuilder().setGroup(service).setExpectedTerm(resumes.token());
            resumes.resumes().forEach(resume -> change.addAdded(RouteMessages.toWire(resume)));
            proposeResumes(change.build(), resumes.resumes(), "committed")
                    .thenAccept(committed -> routesThread.accept(() -> {
                        failover.onResumesCommitEnded(resumes.resumes(), committed);
                        advance();
                    }));
        }

        /** Commits the end of resumes. After a failure, the failover decides and proposes it again. */
        private void commitResumeEnds(List<PendingResume> resumes) {
            ChangePendingResumes.Builder change =
                    ChangePendingResumes.newBuilder().setGroup(service);
            resumes.forEach(resume -> change.addEnded(RouteMessages.toWire(resume)));
            proposeResumes(change.build(), resumes, "ended");
        }

        /** Proposes a change of the pending resumes; completes with whether it certainly took effect. */
        private CompletableFuture<Boolean> proposeResumes(
                ChangePendingResumes change, List<PendingResume> resumes, String outcome) {
            return log.propose(ControlCommand.newBuilder()
                            .setChangePendingResumes(change)
                            .build())
                    .handle((result, error) -> {
                        Optional<FailureException> failure =
                                error != null ? Optional.of(FailureException.of(error)) : result.failure();
                        events.record(
                                "pending_resumes",
                                "service",
                                service,
                                "resumes",
                                resumes,
                                "outcome",
                                failure.map(FailureException::getMessage).orElse(outcome));
                        return failure.isEmpty();
                    });
        }

        private void checkProcessEnd(LostCopy copy) {
            databases
                    .presence(copy.incarnation())
                    .thenAccept(presence -> routesThread.accept(() -> {
                        events.record("process_check", "service", service, "copy", copy, "presence", presence);
                        if (presence.isProcessEnded()) {
                            failover.onProcessEnded(copy);
                        }
                    }));
        }

        private void requestPromotion(SyncFailoverEffect.Promote promote) {
            promoter.promote(service, promote.instanceId(), memberId, promote.token())
                    .whenComplete((accepted, error) -> routesThread.accept(() -> {
                        events.record(
                                "promotion_ordered",
                                "service",
                                service,
                                "instance",
                                promote.instanceId(),
                                "token",
                                promote.token(),
                                "outcome",
                                error == null
                                        ? accepted
                                        : FailureException.of(error).getMessage());
                        if (error == null) {
                            metrics.onPromotionRequested(failover.outageMs());
                            failover.onPromotionResult(promote.token(), accepted);
                            advance();
                        }
                    }));
        }

        private void applyDatabaseCommand(SyncFailoverEffect effect) {
            if (effect instanceof SyncFailoverEffect.AskStatus ask) {
                sendCommand(ask.instanceId(), databases::status, failover::onStatus, "status");
            } else if (effect instanceof SyncFailoverEffect.Pause pause) {
                sendCommand(
                        pause.instanceId(),
                        member -> databases.pause(member, pause.term()),
                        failover::onStatus,
                        "pause");
            } else if (effect instanceof SyncFailoverEffect.Demote demote) {
                sendCommand(
                        demote.instanceId(),
                        member -> databases.demote(member, demote.term()),
                        failover::onDemoted,
                        "demote");
            } else if (effect instanceof SyncFailoverEffect.Resume resume) {
                sendCommand(
                        resume.instanceId(),
                        databases::resume,
                        failover::onResumed,
                        failure -> failover.onResumeFailed(resume.instanceId(), NOT_CARRIED_OUT.contains(failure)),
                        "resume");
            }
        }

        private void sendCommand(
                String instanceId,
                Function<DatabaseInstance, CompletableFuture<ReplicaStatus>> command,
                BiConsumer<String, ReplicaStatus> onStatus,
                String commandName) {
            sendCommand(instanceId, command, onStatus, failure -> {}, commandName);
        }

        private void sendCommand(
                String instanceId,
                Function<DatabaseInstance, CompletableFuture<ReplicaStatus>> command,
                BiConsumer<String, ReplicaStatus> onStatus,
                Consumer<FailureType> onFailure,
                String commandName) {
            Optional<DatabaseInstance> target = members.stream()
                    .filter(member -> member.instanceId().equals(instanceId))
                    .findFirst();
            if (target.isEmpty()) {
                onFailure.accept(FailureType.UNKNOWN_DATABASE);
                return;
            }
            command.apply(target.get())
                    .whenComplete((status, error) -> routesThread.accept(() -> {
                        events.record(
                                "database_command",
                                "service",
                                service,
                                "instance",
                                instanceId,
                                "command",
                                commandName,
                                "outcome",
                                error == null
                                        ? status
                                        : FailureException.of(error).getMessage());
                        if (error == null) {
                            onStatus.accept(instanceId, status);
                            advance();
                            return;
                        }
                        FailureType failure = FailureException.of(error).type();
                        if (SqlConnector.presence(failure).isProcessEnded()) {
                            failover.onConnectionRefused(instanceId);
                        }
                        onFailure.accept(failure);
                    }));
        }
    }
}
