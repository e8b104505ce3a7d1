package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.quota.QuotaLedger;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.Workspace;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.QuotaGrant;
import org.hornbeamspread.protocol.schema.QuotaRequest;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.runtime.EventLoopThread;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.QuotaMessages;
import org.hornbeamspread.transport.RouteMessages;

/**
 * The control leader's handling of routes and databases: commits new configurations, announcements and departures,
 * sends the watching proxies the databases that are not silent, and drives the promotions of each service. On a member
 * that is not the leader every call fails with NOT_LEADER, whose detail is the leader's member id. All state is
 * confined to one thread.
 */
public final class RouteControl implements RouteOperations, AutoCloseable {
    private static final int RING_CAPACITY_EVENTS = 16_384;

    /** Limits the delay of a promotion's next step after a lost response. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final ReplicatedLog log;
    private final Supplier<ControlState> publishedState;
    private final Supplier<List<ControlMember>> members;
    private final EventLog events;
    private final RouteMetrics metrics;
    private final EventLoopThread<Runnable> thread;
    private final InstanceRegistry registry = new InstanceRegistry();
    private final DatabaseLivenessTracker liveness;
    private final LeadershipConfirmation confirmation;
    private final QuotaLedger quotas;
    private final WatchingProxies watchingProxies;
    private final ServicePromotions promotions;
    private final InstanceAnnouncements announcements;
    private ControlState appliedState = ControlState.getDefaultInstance();
    private Leadership leadership = new Leadership(0, Optional.empty(), false);

    /**
     * Creates the route control without starting its thread; see {@link #start}.
     *
     * @param quotaBounds how closely the limits of workspaces are kept
     * @param clock a monotonic clock
     * @param timeOfDay the wall clock, used only to detect that the monotonic clock has stood still
     */
    public RouteControl(
            String memberId,
            ReplicatedLog log,
            Supplier<ControlState> publishedState,
            Supplier<List<ControlMember>> members,
            DatabaseAdministration databases,
            InstancePromoter promoter,
            QuotaBounds quotaBounds,
            Clock clock,
            Clock timeOfDay,
            EventLog events,
            RouteMetrics metrics) {
        this.metrics = metrics;
        this.log = log;
        this.publishedState = publishedState;
        this.members = members;
        this.events = events;
        this.thread = new EventLoopThread<>("routes", RING_CAPACITY_EVENTS, Runnable::run, TICK_INTERVAL, this::tick);
        this.liveness = new DatabaseLivenessTracker(clock, events);
        this.confirmation = new LeadershipConfirmation(
                log,
                () -> publishedState.get().getRoutes().getVersion(),
                clock,
                new ClockJumpDetector(clock, timeOfDay),
                thread::offer);
        this.quotas = new QuotaLedger(quotaBounds, clock);
        this.watchingProxies = new WatchingProxies(
                memberId, clock, new ClockJumpDetector(clock, timeOfDay), confirmation::confirmedAtMs, events);
        this.promotions = new ServicePromotions(
                memberId, log, databases, promoter, clock, events, metrics, thread::offer, watchingProxies);
        this.announcements = new InstanceAnnouncements(
                log,
                registry,
                liveness,
                databases,
                this::execute,
                clock,
                events,
                metrics,
                () -> publish(publishedState.get()),
                promotions::onOutdatedAnnouncement);
    }

    /** Starts the thread. */
    public RouteControl start() {
        log.onLeadershipChange(changed -> thread.offer(() -> onLeadershipChange(changed)));
        thread.start();
        return this;
    }

    /** Called when a command of the log has been applied. */
    public void onApplied() {
        thread.offer(this::applyState);
    }

    /** Handles a proxy's watch request. The response is held until there is a change, for a limited time. */
    public void watch(WatchSystem request, Consumer<Envelope> replyCallback) {
        if (!thread.offer(() -> onWatch(request, replyCallback))) {
            replyCallback.accept(Envelopes.failureEnvelope(new FailureException(FailureType.RING_FULL, "routes")));
        }
    }

    /** Handles a proxy's demand for operations of limited workspaces. */
    public void grantQuota(QuotaRequest request, Consumer<Envelope> replyCallback) {
        if (!thread.offer(() -> onQuotaRequest(request, replyCallback))) {
            replyCallback.accept(Envelopes.failureEnvelope(new FailureException(FailureType.RING_FULL, "routes")));
        }
    }

    @Override
    public CompletableFuture<Long> replaceRoutes(RouteConfigurationDocument configuration) {
        return runAsLeader(() -> commitRoutes(configuration));
    }

    @Override
    public CompletableFuture<RouteConfigurationDocument> readRoutes() {
        return runAsLeader(() -> log.confirmLeadership().thenApply(confirmed -> currentRoutes()));
    }

    @Override
    public CompletableFuture<Void> announce(DatabaseInstance instance) {
        return runAsLeader(() -> announcements.announce(instance));
    }

    @Override
    public CompletableFuture<Void> depart(Departure departure) {
        return runAsLeader(() -> announcements.depart(departure));
    }

    @Override
    public void close() {
        thread.close();
    }

    private void execute(Runnable task) {
        if (!thread.offer(task)) {
            throw new FailureException(FailureType.RING_FULL, "routes");
        }
    }

    private <T> CompletableFuture<T> runAsLeader(Supplier<CompletableFuture<T>> operation) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        boolean accepted = thread.offer(() -> {
            if (!leadership.isLeader()) {
                outcome.completeExceptionally(notLeader());
                return;
            }
            startOrFail(operation).whenComplete((value, error) -> {
                if (error == null) {
                    outcome.complete(value);
                } else {
                    outcome.completeExceptionally(FailureException.of(error));
                }
            });
        });
        if (!accepted) {
            outcome.completeExceptionally(new FailureException(FailureType.RING_FULL, "routes"));
        }
        return outcome;
    }

    /** Returns a failed future when the operation throws a failure before anything was started. */
    private static <T> CompletableFuture<T> startOrFail(Supplier<CompletableFuture<T>> operation) {
        try {
            return operation.get();
        } catch (FailureException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private FailureException notLeader() {
        return new FailureException(
                FailureType.NOT_LEADER, leadership.leaderId().orElse(""));
    }

    private RouteConfigurationDocument currentRoutes() {
        RouteConfigurationDocument routes = publishedState.get().getRoutes();
        if (routes.getVersion() == 0) {
            throw new FailureException(FailureType.NO_VIEW, "no route configuration has been accepted yet");
        }
        return routes;
    }

    private CompletableFuture<Long> commitRoutes(RouteConfigurationDocument configuration) {
        RouteMessages.configuration(configuration).validate();
        long version = configuration.getVersion();
        long currentVersion = publishedState.get().getRoutes().getVersion();
        if (version <= currentVersion) {
            events.record("configuration_unchanged", "version", version, "in_force", currentVersion);
            return log.confirmLeadership().thenApply(confirmed -> currentVersion);
        }
        return log.propose(ControlCommand.newBuilder()
                        .setReplaceRoutes(configuration)
                        .build())
                .thenApply(result -> {
                    long inForce = publishedState.get().getRoutes().getVersion();
                    events.record("configuration_committed", "version", version, "in_force", inForce);
                    return inForce;
                });
    }

    private void onLeadershipChange(Leadership changed) {
        boolean becameLeader = changed.isLeader() && !leadership.isLeader();
        leadership = changed;
        events.record(
                "control_leadership",
                "term",
                changed.term(),
                "leader",
                changed.leaderId().orElse("none"),
                "self",
                changed.isLeader());
        if (becameLeader) {
            liveness.reset(registry.all());
            confirmation.reset();
            quotas.onLeadershipGained();
            quotas.configure(workspaces(publishedState.get()));
            watchingProxies.onLeadershipGained(changed.term());
            promotions.onLeadershipGained(changed.term());
            announcements.onLeadershipGained();
        } else if (!changed.isLeader()) {
            watchingProxies.refuseAll(notLeader());
            promotions.onLeadershipLost();
        }
        applyState();
    }

    private void applyState() {
        ControlState state = publishedState.get();
        boolean instancesChanged = !state.getInstancesList().equals(appliedState.getInstancesList());
        Collection<DatabaseInstance> registeredBefore = registry.all();
        if (instancesChanged
                || !state.getDeparturesList().equals(appliedState.getDeparturesList())
                || !state.getLostCopiesList().equals(appliedState.getLostCopiesList())
                || !state.getNamedServicesList().equals(appliedState.getNamedServicesList())) {
            RouteMessages.restore(registry, state);
        }
        if (state.getRoutes().getVersion() != appliedState.getRoutes().getVersion()) {
            metrics.onCommit("routes");
            quotas.configure(workspaces(state));
        }
        if (instancesChanged) {
            metrics.onCommit("instances");
            events.record("instances_changed", "instances", state.getInstancesCount());
            logInstanceChanges(registeredBefore);
            liveness.retain(registry.all());
            announcements.onRegistryChanged();
        }
        appliedState = state;
        publish(state);
    }

    private void publish(ControlState state) {
        watchingProxies.publish(state, liveness.instancesToPublish(state, promotions::isSettled), members.get());
    }

    /**
     * Logs an event for each instance that joined, changed or departed. Only the leader logs these events, since they
     * explain the leader's decisions.
     */
    private void logInstanceChanges(Collection<DatabaseInstance> before) {
        if (!leadership.isLeader()) {
            return;
        }
        Set<String> beforeIds = new HashSet<>();
        for (DatabaseInstance instance : before) {
            beforeIds.add(instance.instanceId());
            if (registry.find(instance.instanceId()).isEmpty()) {
                record("left", instance);
            }
        }
        for (DatabaseInstance instance : registry.all()) {
            if (!beforeIds.contains(instance.instanceId())) {
                record("joined", instance);
            } else if (before.stream().noneMatch(instance::equals)) {
                record("changed", instance);
            }
        }
    }

    private void record(String change, DatabaseInstance instance) {
        events.record(
                "instance_" + change,
                "service",
                instance.service(),
                "instance",
                instance.instanceId(),
                "address",
                instance.address(),
                "born_ms",
                instance.bornMs(),
                "sequence",
                instance.sequence(),
                "primary",
                instance.primary(),
                "draining",
                instance.draining());
    }

    private void tick() {
        if (!leadership.isLeader()) {
            return;
        }
        liveness.markSilent(registry.all());
        publish(publishedState.get());
        announcements.checkSharedAddresses();
        if (publishedState.get().getRoutes().hasWorkspaces()) {
            confirmation.tick();
        }
        watchingProxies.answerExpiredWatches();
        metrics.onWatchingProxies(watchingProxies.liveProxies());
        promotions.tick(publishedState, registry, liveness.lastAnnouncedAtMs());
    }

    private static List<Workspace> workspaces(ControlState state) {
        return RouteMessages.configuration(state.getRoutes()).workspaces().orElseGet(List::of);
    }

    /** A leader that may have been replaced grants nothing: its successor may grant the same operations. */
    private void onQuotaRequest(QuotaRequest request, Consumer<Envelope> replyCallback) {
        if (!leadership.isLeader() || !confirmation.isConfirmedWithin(QuotaLedger.MAX_UNCONFIRMED_MS)) {
            replyCallback.accept(Envelopes.failureEnvelope(notLeader()));
            return;
        }
        try {
            QuotaGrant.Builder grant = QuotaGrant.newBuilder().setLeaderTerm(leadership.term());
            QuotaMessages.demands(request)
                    .forEach(demand -> quotas.serve(request.getProxyId(), demand)
                            .ifPresent(share -> grant.addShares(QuotaMessages.toWire(share))));
            replyCallback.accept(Envelope.newBuilder().setQuotaGrant(grant).build());
        } catch (FailureException e) {
            events.record("quota_request_refused", "proxy", request.getProxyId(), "cause", e.getMessage());
            replyCallback.accept(Envelopes.failureEnvelope(e));
        }
    }

    private void onWatch(WatchSystem request, Consumer<Envelope> replyCallback) {
        if (leadership.isLeader()) {
            if (watchingProxies.watch(request, replyCallback)) {
                promotions.onCommitReports();
            }
        } else {
            replyCallback.accept(Envelopes.failureEnvelope(notLeader()));
        }
    }
}
