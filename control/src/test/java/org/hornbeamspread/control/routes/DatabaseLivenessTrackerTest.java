package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.PausedClock;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.transport.RouteMessages;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class DatabaseLivenessTrackerTest {
    private static final long SILENCE_TIMEOUT_MS = 12_000;

    private final PausedClock clock = new PausedClock();
    private final List<String> events = new ArrayList<>();
    private final DatabaseLivenessTracker tracker = new DatabaseLivenessTracker(
            clock, (event, fields) -> events.add(event + " " + fields[1] + " " + fields[3]));

    /** A replica is told unless it is silent, was not promoted, and no promotion goes on. */
    @ParameterizedTest
    @CsvSource({
        "12000, false, false, true, true",
        "12001, false, false, true, false",
        "12001, true, false, true, true",
        "12001, false, true, true, true",
        "12001, false, false, false, true"
    })
    void onlySilentReplicasWithoutAPromotionAreNotPublished(
            long silentMs, boolean primary, boolean promoted, boolean settled, boolean told) {
        DatabaseInstance database = database("a", primary);
        tracker.reset(List.of(database));
        advance(silentMs);
        tracker.markSilent(List.of(database));
        RegisteredInstance wire = RouteMessages.wire(database);
        ControlState state = ControlState.newBuilder()
                .addInstances(wire)
                .addGroups(GroupTerm.newBuilder()
                        .setGroup("ledger")
                        .setTerm(1)
                        .setPrimaryId(promoted ? "a" : "b")
                        .setWritable(true))
                .build();

        assertThat(tracker.instancesToPublish(state, service -> settled)).isEqualTo(told ? List.of(wire) : List.of());
    }

    @Test
    void startAndEndOfEachSilenceAreLoggedOnce() {
        List<DatabaseInstance> known = List.of(database("a", false));
        tracker.reset(known);
        for (int silence = 0; silence < 2; silence++) {
            advance(SILENCE_TIMEOUT_MS + 1);
            tracker.markSilent(known);
            advance(1_000);
            tracker.markSilent(known);
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
        long beginMs = clock.millis();
        List<DatabaseInstance> known = List.of(database("a", false), database("b", false));
        tracker.reset(known);
        advance(SILENCE_TIMEOUT_MS + 1);
        tracker.markSilent(known);
        tracker.retainConnections(List.of(database("a", false), database("c", false)));

        assertThat(tracker.lastAnnouncedAtMs()).containsExactly("a", beginMs, "c", clock.millis());
    }

    /** A leader has heard nobody before it began. */
    @Test
    void newLeaderPublishesAllDatabasesUntilTheirSilenceTimeout() {
        DatabaseInstance database = database("a", false);
        ControlState state = ControlState.newBuilder()
                .addInstances(RouteMessages.wire(database))
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
