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
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.Leadership;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.InstanceRegistry.AnnouncementStatus;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.WatchSystem;
import org.hornbeamspread.runtime.DutyThread;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.RouteMessages;

/**
 * What the leading control member does with routes and databases: it commits what is new, tells watching proxies of
 * the databases that it hears, and drives the promotions of each service. On a member that does not lead every call fails with
 * NOT_LEADER, whose detail names the leader's peer endpoint. All state belongs to one duty thread.
 */
public final class RouteControl implements RouteOperations, AutoCloseable {
    private static final int RING_EVENTS = 16_384;

    /** Decides how soon a promotion's next step follows an answer that was lost. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final ReplicatedLog log;
    private final Supplier<ControlState> published;
    private final Supplier<List<ControlMember>> members;
    private final EventLog events;
    private final RouteMetrics metrics;
    private final DutyThread<Runnable> thread;
    private final InstanceRegistry registry = new InstanceRegistry();
    private final HeardDatabases heard;
    private final WatchingProxies watchers;
    private final ServicePromotions promotions;
    private ControlState seen = ControlState.getDefaultInstance();
    private Leadership leadership = new Leadership(0, Optional.empty(), false);

    /**
     * Makes the duty; {@link #start} runs it.
     *
     * @param clock a steady clock
     * @param timeOfDay the wall clock, used only to notice that the steady one stood still
     */
    public RouteControl(
            String memberId,
            ReplicatedLog log,
            Supplier<ControlState> published,
            Supplier<List<ControlMember>> members,
            DatabaseAdministration databases,
            PromotionOrders orders,
            Clock clock,
            Clock timeOfDay,
            EventLog events,
            RouteMetrics metrics) {
        this.metrics = metrics;
        this.log = log;
        this.published = published;
        this.members = members;
        this.events = events;
        this.thread = new DutyThread<>("routes", RING_EVENTS, Runnable::run, TICK_INTERVAL, this::tick);
        this.heard = new HeardDatabases(clock, events);
        this.watchers = new WatchingProxies(clock, new ClockJumpDetector(clock, timeOfDay));
        this.promotions = new ServicePromotions(
                memberId, log, databases, orders, clock, events, metrics, thread::offer, watchers);
    }

    /** Starts the thread. */
    public RouteControl start() {
        log.onLeadershipChange(changed -> thread.offer(() -> onLeadership(changed)));
        thread.start();
        return this;
    }

    /** Something was applied to the log. */
    public void onApplied() {
        thread.offer(this::refresh);
    }

    /** A proxy asks for news; the answer may be held for a while. */
    public void watch(WatchSystem request, Consumer<Envelope> answer) {
        if (!thread.offer(() -> onWatch(request, answer))) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(FailureType.RING_FULL, "routes")));
        }
    }

    @Override
    public CompletableFuture<Long> replaceRoutes(RouteConfigurationDocument configuration) {
        return onLeader(() -> commitRoutes(configuration));
    }

    @Override
    public CompletableFuture<RouteConfigurationDocument> readRoutes() {
        return onLeader(() -> log.confirmLeadership().thenApply(confirmed -> currentRoutes()));
    }

    @Override
    public CompletableFuture<Void> announce(DatabaseInstance instance) {
        return onLeader(() -> commitAnnouncement(instance));
    }

    @Override
    public CompletableFuture<Void> depart(Departure departure) {
        return onLeader(() -> commit(ChangeInstances.newBuilder()
                .addDeparted(RouteMessages.wire(departure))
                .build()));
    }

    @Override
    public void close() {
        thread.close();
    }

    private <T> CompletableFuture<T> onLeader(Supplier<CompletableFuture<T>> work) {
        CompletableFuture<T> outcome = new CompletableFuture<>();
        boolean taken = thread.offer(() -> {
            if (!leadership.isLeader()) {
                outcome.completeExceptionally(notLeader());
                return;
            }
            started(work).whenComplete((value, error) -> {
                if (error == null) {
                    outcome.complete(value);
                } else {
                    outcome.completeExceptionally(FailureException.of(error));
                }
            });
        });
        if (!taken) {
            outcome.completeExceptionally(new FailureException(FailureType.RING_FULL, "routes"));
        }
        return outcome;
    }

    /** A refusal before anything was started is an outcome like any other. */
    private static <T> CompletableFuture<T> started(Supplier<CompletableFuture<T>> work) {
        try {
            return work.get();
        } catch (FailureException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private FailureException notLeader() {
        return new FailureException(
                FailureType.NOT_LEADER, leadership.leaderId().orElse(""));
    }

    private RouteConfigurationDocument currentRoutes() {
        RouteConfigurationDocument routes = published.get().getRoutes();
        if (routes.getVersion() == 0) {
            throw new FailureException(FailureType.NO_VIEW, "no configuration was accepted yet");
        }
        return routes;
    }

    private CompletableFuture<Long> commitRoutes(RouteConfigurationDocument configuration) {
        RouteMessages.configuration(configuration).validate();
        long version = configuration.getVersion();
        long present = published.get().getRoutes().getVersion();
        if (version <= present) {
            events.record("configuration_unchanged", "version", version, "in_force", present);
            return log.confirmLeadership().thenApply(confirmed -> present);
        }
        return log.propose(ControlCommand.newBuilder()
                        .setReplaceRoutes(configuration)
                        .build())
                .thenApply(result -> {
                    long inForce = published.get().getRoutes().getVersion();
                    events.record("configuration_committed", "version", version, "in_force", inForce);
                    return inForce;
                });
    }

    private CompletableFuture<Void> commitAnnouncement(DatabaseInstance instance) {
        AnnouncementStatus verdict = registry.classify(instance);
        if (verdict == AnnouncementStatus.OUTDATED) {
            events.record(
                    "announcement_outdated",
                    "instance",
                    instance.instanceId(),
                    "born_ms",
                    instance.bornMs(),
                    "sequence",
                    instance.sequence());
            return CompletableFuture.completedFuture(null);
        }
        if (heard.onAnnounced(instance.instanceId())) {
            publish(published.get());
        }
        if (verdict == AnnouncementStatus.UNCHANGED) {
            return CompletableFuture.completedFuture(null);
        }
        return commit(ChangeInstances.newBuilder()
                .addAnnounced(RouteMessages.wire(instance))
                .build());
    }

    private CompletableFuture<Void> commit(ChangeInstances change) {
        return log.propose(
                        ControlCommand.newBuilder().setChangeInstances(change).build())
                .thenAccept(RouteControl::requireSuccess);
    }

    private static void requireSuccess(CommandResult result) {
        result.failure().ifPresent(failure -> {
            throw failure;
        });
    }

    private void onLeadership(Leadership changed) {
        boolean began = changed.isLeader() && !leadership.isLeader();
        leadership = changed;
        events.record(
                "control_leadership",
                "term",
                changed.term(),
                "leader",
                changed.leaderId().orElse("none"),
                "self",
                changed.isLeader());
        if (began) {
            heard.begin(registry.all());
            watchers.begin(changed.term());
            promotions.begin();
        } else if (!changed.isLeader()) {
            watchers.refuseAll(notLeader());
            promotions.end();
        }
        refresh();
    }

    private void refresh() {
        ControlState state = published.get();
        boolean instancesChanged = !state.getInstancesList().equals(seen.getInstancesList());
        Collection<DatabaseInstance> known = registry.all();
        if (instancesChanged
                || !state.getDeparturesList().equals(seen.getDeparturesList())
                || !state.getLostCopiesList().equals(seen.getLostCopiesList())) {
            RouteMessages.restore(registry, state);
        }
        if (state.getRoutes().getVersion() != seen.getRoutes().getVersion()) {
            metrics.onCommit("routes");
        }
        if (instancesChanged) {
            metrics.onCommit("instances");
            events.record("instances_changed", "instances", state.getInstancesCount());
            recordChanges(known);
            heard.retain(registry.all());
        }
        seen = state;
        publish(state);
    }

    private void publish(ControlState state) {
        watchers.publish(state, heard.told(state, promotions::isSettled), members.get());
    }

    /** One line for each instance that came, changed or is gone; by the leader only, whose decisions they explain. */
    private void recordChanges(Collection<DatabaseInstance> before) {
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
        heard.noteSilent(registry.all());
        publish(published.get());
        watchers.answerDue();
        metrics.onProxies(watchers.liveProxies());
        promotions.tick(published, registry, heard.heardAtMs());
    }

    private void onWatch(WatchSystem request, Consumer<Envelope> answer) {
        if (leadership.isLeader()) {
            watchers.add(request, answer);
        } else {
            answer.accept(Envelopes.failureEnvelope(notLeader()));
        }
    }
}
