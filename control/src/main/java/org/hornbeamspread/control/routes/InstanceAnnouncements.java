package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.route.AnnouncementReview;
import org.hornbeamspread.core.route.AnnouncementReview.Decision;
import org.hornbeamspread.core.route.AnnouncementReview.Outcome;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.InstanceRegistry.AnnouncementStatus;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.route.OutdatedAnnouncements;
import org.hornbeamspread.core.route.Presence;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.transport.RouteMessages;

/**
 * The leader's handling of announcements and departures. What an announcement contradicts is checked by connections to the databases
 * before it is committed. Confined to the routes thread.
 */
final class InstanceAnnouncements {
    private static final long SHARED_ADDRESS_CHECK_INTERVAL_MS = 300;

    private final ReplicatedLog log;
    private final InstanceRegistry registry;
    private final DatabaseLivenessTracker liveness;
    private final PresenceChecks presenceChecks;
    private final Executor routesThread;
    private final OutdatedAnnouncements outdated;
    private final Clock clock;
    private final EventLog events;
    private final RouteMetrics metrics;
    private final Runnable onHeardAgain;
    private final Consumer<DatabaseInstance> onOutdated;

    /** The instances whose address another one is registered for too, and the time of the latest check. */
    private final Map<DatabaseInstance, Long> sharedAddressCheckedAtMs = new HashMap<>();

    InstanceAnnouncements(
            ReplicatedLog log,
            InstanceRegistry registry,
            DatabaseLivenessTracker liveness,
            DatabaseAdministration databases,
            Executor routesThread,
            Clock clock,
            EventLog events,
            RouteMetrics metrics,
            Runnable onHeardAgain,
            Consumer<DatabaseInstance> onOutdated) {
        this.log = log;
        this.registry = registry;
        this.liveness = liveness;
        this.presenceChecks = new PresenceChecks(databases);
        this.routesThread = routesThread;
        this.outdated = new OutdatedAnnouncements(clock);
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.onHeardAgain = onHeardAgain;
        this.onOutdated = onOutdated;
    }

    void onLeadershipGained() {
        outdated.clear();
    }

    /** Updates which instances share an address. */
    void onRegistryChanged() {
        List<DatabaseInstance> shared = registry.withSharedAddress();
        sharedAddressCheckedAtMs.keySet().retainAll(shared);
        shared.forEach(instance ->
                sharedAddressCheckedAtMs.putIfAbsent(instance, clock.millis() - SHARED_ADDRESS_CHECK_INTERVAL_MS));
    }

    /** Completes once the announcement is committed, or is found to change nothing. */
    CompletableFuture<Void> announce(DatabaseInstance announced) {
        AnnouncementStatus status = registry.classify(announced);
        return switch (status) {
            case UNNAMED_SERVICE -> {
                recordAnnouncement("unnamed_service", announced, Map.of());
                yield CompletableFuture.completedFuture(null);
            }
            case OUTDATED -> onOutdated(announced);
            case UNCHANGED -> {
                onAccepted(announced);
                yield CompletableFuture.completedFuture(null);
            }
            case NEW -> review(announced);
        };
    }

    CompletableFuture<Void> depart(Departure departure) {
        return commit(ChangeInstances.newBuilder()
                .addDeparted(RouteMessages.toWire(departure))
                .build());
    }

    /** Checks which of the instances that share an address respond there, and commits the end of those that another one has replaced. */
    void checkSharedAddresses() {
        long nowMs = clock.millis();
        List<DatabaseInstance> due = sharedAddressCheckedAtMs.entrySet().stream()
                .filter(checked -> nowMs - checked.getValue() >= SHARED_ADDRESS_CHECK_INTERVAL_MS)
                .map(Map.Entry::getKey)
                .toList();
        for (DatabaseInstance instance : due) {
            sharedAddressCheckedAtMs.put(instance, nowMs);
            presenceChecks
                    .check(instance)
                    .thenAcceptAsync(
                            presence -> {
                                if (presence == Presence.REPLACED) {
                                    commitEnds(List.of(instance));
                                }
                            },
                            routesThread);
        }
    }

    private CompletableFuture<Void> onOutdated(DatabaseInstance announced) {
        recordAnnouncement("outdated", announced, Map.of());
        onOutdated.accept(announced);
        Long acceptedAtMs = liveness.lastAnnouncedAtMs().get(announced.instanceId());
        boolean registered = acceptedAtMs != null;
        boolean continued = registered && outdated.onOutdated(announced, acceptedAtMs);
        if (announced.draining() || (registered && !continued)) {
            return CompletableFuture.completedFuture(null);
        }
        OptionalLong displacedBornMs = registry.find(announced.instanceId()).stream()
                .mapToLong(DatabaseInstance::bornMs)
                .findFirst();
        return presenceChecks
                .check(announced)
                .thenComposeAsync(
                        presence -> OutdatedAnnouncements.isReinstated(registered, continued, presence)
                                ? reinstate(announced, displacedBornMs, presence)
                                : CompletableFuture.completedFuture(null),
                        routesThread);
    }

    private CompletableFuture<Void> reinstate(
            DatabaseInstance announced, OptionalLong displacedBornMs, Presence presence) {
        recordAnnouncement("reinstated", announced, Map.of(announced, presence));
        return commit(ChangeInstances.newBuilder()
                .addReinstated(RouteMessages.toWire(announced, displacedBornMs))
                .build());
    }

    private void onAccepted(DatabaseInstance announced) {
        if (liveness.onAnnounced(announced.instanceId())) {
            onHeardAgain.run();
        }
    }

    private CompletableFuture<Void> review(DatabaseInstance announced) {
        Map<DatabaseInstance, CompletableFuture<Presence>> checks = new LinkedHashMap<>();
        AnnouncementReview.instancesToCheck(registry, announced)
                .forEach(instance -> checks.put(instance, presenceChecks.check(instance)));
        if (checks.isEmpty()) {
            return accept(announced, List.of());
        }
        return CompletableFuture.allOf(checks.values().toArray(CompletableFuture[]::new))
                .thenComposeAsync(checked -> decide(announced, checks), routesThread);
    }

    private CompletableFuture<Void> decide(
            DatabaseInstance announced, Map<DatabaseInstance, CompletableFuture<Presence>> checks) {
        Map<DatabaseInstance, Presence> observations = new LinkedHashMap<>();
        checks.forEach((instance, presence) -> observations.put(instance, presence.join()));
        Decision decision = AnnouncementReview.decide(announced, observations);
        recordAnnouncement(outcomeName(decision.outcome()), announced, observations);
        return decision.outcome() == Outcome.ACCEPTED
                ? accept(announced, decision.ended())
                : commitEnds(decision.ended());
    }

    private static String outcomeName(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    private CompletableFuture<Void> accept(DatabaseInstance announced, List<DatabaseInstance> ended) {
        onAccepted(announced);
        return commit(ends(ended).addAnnounced(RouteMessages.toWire(announced)).build());
    }

    private CompletableFuture<Void> commitEnds(List<DatabaseInstance> ended) {
        return ended.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : commit(ends(ended).build());
    }

    private ChangeInstances.Builder ends(List<DatabaseInstance> ended) {
        ChangeInstances.Builder change = ChangeInstances.newBuilder();
        for (DatabaseInstance instance : ended) {
            recordAnnouncement("ended", instance, Map.of(instance, Presence.REPLACED));
            change.addEnded(RouteMessages.toWire(LostCopy.of(instance, true)));
        }
        return change;
    }

    private CompletableFuture<Void> commit(ChangeInstances change) {
        return log.propose(
                        ControlCommand.newBuilder().setChangeInstances(change).build())
                .thenAccept(InstanceAnnouncements::requireSuccess);
    }

    private static void requireSuccess(CommandResult result) {
        result.failure().ifPresent(failure -> {
            throw failure;
        });
    }

    /** Logs a decision on what an instance has announced, with the observations that decided it. */
    private void recordAnnouncement(
            String outcome, DatabaseInstance announced, Map<DatabaseInstance, Presence> observations) {
        metrics.onAnnouncement(outcome);
        events.record(
                "announcement_" + outcome,
                "service",
                announced.service(),
                "instance",
                announced.instanceId(),
                "address",
                announced.address(),
                "born_ms",
                announced.bornMs(),
                "sequence",
                announced.sequence(),
                "checked",
                observations.entrySet().stream()
                        .map(observation -> observation.getKey().instanceId() + " " + observation.getValue())
                        .toList());
    }
}
