package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.route.Presence;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.RoutedServiceDefinition;
import org.hornbeamspread.transport.RouteMessages;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the leader commits when announcements contradict each other, by what it observes at the addresses. */
final class InstanceAnnouncementsTest {
    private static final long ANNOUNCEMENT_INTERVAL_MS = 1_200;
    private static final DatabaseInstance REPLICA = instance("a", "ledger", 1, 100, 5);

    private final ManualClock clock = new ManualClock();
    private final ImmediateLog log = new ImmediateLog();
    private final InstanceRegistry registry = new InstanceRegistry();
    private final DatabaseLivenessTracker liveness = new DatabaseLivenessTracker(clock, EventLog.NONE);
    private final Map<String, Presence> presenceByIdAndPort = new HashMap<>();
    private final List<CompletableFuture<Presence>> heldChecks = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private boolean holdChecks;

    private final InstanceAnnouncements announcements = new InstanceAnnouncements(
            log,
            registry,
            liveness,
            new UnreachableDatabases() {
                @Override
                public CompletableFuture<Presence> presence(DatabaseInstance instance) {
                    if (holdChecks) {
                        CompletableFuture<Presence> held = new CompletableFuture<>();
                        heldChecks.add(held);
                        return held;
                    }
                    return CompletableFuture.completedFuture(presenceByIdAndPort.getOrDefault(
                            instance.instanceId() + " " + instance.address().port(), Presence.UNKNOWN));
                }
            },
            Runnable::run,
            clock,
            (event, fields) -> events.add(event),
            new RouteMetrics(new PrometheusRegistry()),
            () -> {},
            announced -> {});

    @BeforeEach
    void configure() {
        log.onApplied(() -> {
            RouteMessages.restore(registry, log.state());
            liveness.retain(registry.all());
            announcements.onRegistryChanged();
        });
        log.propose(ControlCommand.newBuilder()
                .setReplaceRoutes(RouteConfigurationDocument.newBuilder()
                        .setVersion(1)
                        .addServices(RoutedServiceDefinition.newBuilder().setName("ledger"))
                        .addServices(RoutedServiceDefinition.newBuilder().setName("audit")))
                .build());
        announce(REPLICA);
    }

    /**
     * The announcement took the running replica out of the registry, and a promotion without it lost commits (review case 7): of a service
     * that no configuration names, of the right one, once or again and again, under an id of its own or that of the replica.
     */
    @ParameterizedTest
    @CsvSource({
        "i-odd, other9, 1, announcement_unnamed_service",
        "i-odd, ledger, 1, announcement_refuted",
        "i-odd, audit, 1, announcement_refuted",
        "a, other9, 1, announcement_unnamed_service",
        "a, audit, 1, announcement_refuted",
        "a, ledger, 2, announcement_refuted"
    })
    void aRunningInstanceStaysRegistered(String id, String service, int port, String expectedEvent) {
        presenceByIdAndPort.put("a 1", Presence.RUNNING);
        for (int sequence = 1; sequence <= 3; sequence++) {
            announce(instance(id, service, port, 9_000, sequence));
            assertThat(registry.all()).containsExactly(REPLICA);
        }

        assertThat(registry.lostCopies()).isEmpty();
        assertThat(events).containsExactly(expectedEvent, expectedEvent, expectedEvent);
    }

    /** A true successor replaces the instance at its address in the commit of its announcement. */
    @ParameterizedTest
    @ValueSource(strings = {"ledger", "audit"})
    void aSuccessorEndsTheInstanceThatItHasReplaced(String service) {
        presenceByIdAndPort.put("a 1", Presence.REPLACED);
        DatabaseInstance successor = instance("b", service, 1, 200, 1);
        announce(successor);

        assertThat(registry.all()).containsExactly(successor);
        assertThat(registry.lostCopies()).containsExactly(LostCopy.of(REPLICA, true));
        assertThat(events)
                .containsExactly("announcement_accepted", "announcement_ended")
                .inOrder();
    }

    /** While nothing shows which one runs, both count; the end of one is committed as soon as it is observed. */
    @ParameterizedTest
    @CsvSource({"a, b", "b, a"})
    void anAddressIsSharedUntilItIsObservedWhoResponds(String endedId, String remainingId) {
        DatabaseInstance other = instance("b", "ledger", 1, 200, 1);
        announce(other);
        assertThat(registry.all()).containsExactly(REPLICA, other);
        announcements.checkSharedAddresses();
        assertThat(registry.all()).containsExactly(REPLICA, other);

        presenceByIdAndPort.put(endedId + " 1", Presence.REPLACED);
        presenceByIdAndPort.put(remainingId + " 1", Presence.RUNNING);
        clock.advance(Duration.ofMillis(300));
        announcements.checkSharedAddresses();

        assertThat(registry.all().stream().map(DatabaseInstance::instanceId)).containsExactly(remainingId);
        assertThat(registry.lostCopies().stream().map(LostCopy::instanceId)).containsExactly(endedId);
    }

    /** A deregistration or an announcement that no database sent kept the running one out of the registry for good. */
    @ParameterizedTest
    @CsvSource({"true, RUNNING, true", "false, RUNNING, true", "true, NOT_LISTENING, false", "false, UNKNOWN, false"})
    void anInstanceThatContinuesToAnnounceItselfIsReinstatedIfItResponds(
            boolean departed, Presence presence, boolean expected) {
        presenceByIdAndPort.put("a 1", presence);
        if (departed) {
            announcements
                    .depart(new Departure("a", Departure.EVERY_INCARNATION))
                    .join();
        } else {
            announce(instance("a", "ledger", 1, 9_000, 1));
        }
        for (int sequence = 6; sequence <= 9; sequence++) {
            clock.advance(Duration.ofMillis(ANNOUNCEMENT_INTERVAL_MS));
            announce(instance("a", "ledger", 1, 100, sequence));
        }

        assertThat(registry.find("a").filter(found -> found.bornMs() == 100).isPresent())
                .isEqualTo(expected);
        assertThat(events.contains("announcement_reinstated")).isEqualTo(expected);
    }

    /** An attempt that began earlier says nothing of a process that has started meanwhile. */
    @Test
    void anAnnouncementIsCheckedByAnAttemptThatBeganAfterIt() {
        holdChecks = true;
        CompletableFuture<Void> first = announcements.announce(instance("b", "ledger", 1, 200, 1));
        CompletableFuture<Void> second = announcements.announce(instance("c", "ledger", 1, 300, 1));
        assertThat(heldChecks).hasSize(1);
        heldChecks.get(0).complete(Presence.RUNNING);
        assertThat(first.isDone()).isTrue();
        assertThat(second.isDone()).isFalse();

        assertThat(heldChecks).hasSize(2);
        heldChecks.get(1).complete(Presence.REPLACED);
        assertThat(second.isDone()).isTrue();
        assertThat(registry.all().stream().map(DatabaseInstance::instanceId)).containsExactly("c");
    }

    private void announce(DatabaseInstance instance) {
        announcements.announce(instance).join();
    }

    private static DatabaseInstance instance(String id, String service, int port, long bornMs, long sequence) {
        return new DatabaseInstance(
                id, service, new Address("10.0.0.1", port), "domain", 2, false, false, bornMs, sequence);
    }
}
