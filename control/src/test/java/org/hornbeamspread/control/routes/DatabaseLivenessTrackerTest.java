package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.transport.RouteMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A database that is partitioned from control stops announcing itself: proxies must not use it as a replica meanwhile,
 * but it must not be hidden while it leads or may be chosen.
 */
final class DatabaseLivenessTrackerTest {
    private static final long SILENCE_TIMEOUT_MS = 12_000;

    private final ManualClock clock = new ManualClock();
    private final List<String> events = new ArrayList<>();
    private final DatabaseLivenessTracker tracker = new DatabaseLivenessTracker(
            clock, (event, fields) -> events.add(event + " " + fields[1] + " " + fields[3]));

    /** A replica is published unless it is silent, was not promoted, and no promotion is in progress. */
    @ParameterizedTest
    @CsvSource({
        "12000, false, false, true, true",
        "12001, false, false, true, false",
        "12001, true, false, true, true",
        "12001, false, true, true, true",
        "12001, false, false, false, true"
    })
    void onlySilentReplicasWithoutAPromotionAreNotPublished(
            long silentMs, boolean primary, boolean promoted, boolean settled, boolean published) {
        DatabaseInstance database = database("a", primary);
        tracker.reset(List.of(database));
        advance(silentMs);
        tracker.markSilent(List.of(database));
        RegisteredInstance registeredInstance = RouteMessages.toWire(database);
        ControlState state = ControlState.newBuilder()
                .addInstances(registeredInstance)
                .addGroups(GroupTerm.newBuilder()
                        .setGroup("ledger")
                        .setTerm(1)
                        .setPrimaryId(promoted ? "a" : "b")
                        .setWritable(true))
                .build();

        assertThat(tracker.instancesToPublish(state, service -> settled))
                .isEqualTo(published ? List.of(registeredInstance) : List.of());
    }

    @Test
    void startAndEndOfEachSilenceAreLoggedOnce() {
        List<DatabaseInstance> registered = List.of(database("a", false));
        tracker.reset(registered);
        for (int round = 0; round < 2; round++) {
            advance(SILENCE_TIMEOUT_MS + 1);
            tracker.markSilent(registered);
            advance(1_000);
            tracker.markSilent(registered);
            assertThat(tracker.onAnnounced("a")).isTrue();
            assertThat(tracker.onAnnounced("a")).isFalse();
        }

        assertThat(events)
                .containsExactly(
                        "instance_silent a 12000",
                        "instance_heard_again a 13001",
                        "instance_silent a 12000",
                        "instance_heard_again a 13001")
                .inOrder();
    }

    @Test
    void announcementTimesOfRegisteredDatabasesAreRetained() {
        long resetAtMs = clock.millis();
        List<DatabaseInstance> registered = List.of(database("a", false), database("b", false));
        tracker.reset(registered);
        advance(SILENCE_TIMEOUT_MS + 1);
        tracker.markSilent(registered);
        tracker.retain(List.of(database("a", false), database("c", false)));

        assertThat(tracker.lastAnnouncedAtMs()).containsExactly("a", resetAtMs, "c", clock.millis());
    }

    /** A leader has received no announcements before its term. */
    @Test
    void newLeaderPublishesAllDatabasesUntilTheirSilenceTimeout() {
        DatabaseInstance database = database("a", false);
        ControlState state = ControlState.newBuilder()
                .addInstances(RouteMessages.toWire(database))
                .build();
        tracker.reset(List.of(database));
        advance(SILENCE_TIMEOUT_MS + 1);
        tracker.markSilent(List.of(database));
        assertThat(tracker.instancesToPublish(state, service -> true)).isEmpty();

        tracker.reset(List.of(database));
        tracker.markSilent(List.of(database));
        assertThat(tracker.instancesToPublish(state, service -> true)).hasSize(1);
    }

    private void advance(long stepMs) {
        clock.advance(Duration.ofMillis(stepMs));
    }

    private static DatabaseInstance database(String id, boolean primary) {
        return new DatabaseInstance(id, "ledger", new Address("10.0.0.1", 5_432), "domain", 2, false, primary, 100, 1);
    }
}
