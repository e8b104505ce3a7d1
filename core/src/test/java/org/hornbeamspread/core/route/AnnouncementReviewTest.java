package org.hornbeamspread.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.route.AnnouncementReview.Decision;
import org.hornbeamspread.core.route.AnnouncementReview.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An announcement may come from any writer, so that what it contradicts must be observed before anything is removed. */
final class AnnouncementReviewTest {
    private static final DatabaseInstance REPLICA = instance("a", "ledger", 1, 100);

    private final InstanceRegistry registry = new InstanceRegistry();

    /** The announcement of another id at the address of a running replica ended the replica (review case 7). */
    @ParameterizedTest
    @CsvSource({
        "ledger, RUNNING, REFUTED, false",
        "audit, RUNNING, REFUTED, false",
        "ledger, REPLACED, ACCEPTED, true",
        "audit, REPLACED, ACCEPTED, true",
        "ledger, NOT_LISTENING, ACCEPTED, false",
        "ledger, UNKNOWN, ACCEPTED, false",
        "audit, UNKNOWN, ACCEPTED, false"
    })
    void anotherIdAtAnAddressIsRefutedByTheInstanceThatResponds(
            String service, Presence presence, Outcome expected, boolean expectedEnd) {
        registry.announce(REPLICA);
        DatabaseInstance announced = instance("b", service, 1, 200);
        assertThat(AnnouncementReview.instancesToCheck(registry, announced)).containsExactly(REPLICA);

        assertThat(AnnouncementReview.decide(announced, Map.of(REPLICA, presence)))
                .isEqualTo(new Decision(expected, expectedEnd ? List.of(REPLICA) : List.of()));
    }

    /** Control sent its commands to the announced address, and the running replica was neither counted nor fenced. */
    @ParameterizedTest
    @CsvSource({
        "RUNNING, UNKNOWN, REFUTED, false",
        "RUNNING, RUNNING, REFUTED, false",
        "REPLACED, UNKNOWN, ACCEPTED, true",
        "NOT_LISTENING, RUNNING, ACCEPTED, true",
        "UNKNOWN, RUNNING, ACCEPTED, true",
        "NOT_LISTENING, NOT_LISTENING, UNCONFIRMED, false",
        "NOT_LISTENING, REPLACED, UNCONFIRMED, false",
        "UNKNOWN, UNKNOWN, UNCONFIRMED, false"
    })
    void anIdMovesOnlyIfItEndedAtItsPlaceOrRespondsAtTheOther(
            Presence registeredPresence, Presence announcedPresence, Outcome expected, boolean expectedEnd) {
        registry.announce(REPLICA);
        DatabaseInstance announced = instance("a", "ledger", 2, 200);
        assertThat(AnnouncementReview.instancesToCheck(registry, announced)).containsExactly(REPLICA, announced);

        assertThat(AnnouncementReview.decide(
                        announced, Map.of(REPLICA, registeredPresence, announced, announcedPresence)))
                .isEqualTo(new Decision(expected, expectedEnd ? List.of(REPLICA) : List.of()));
    }

    /** An id that moves to the address of a third instance contradicts both. */
    @Test
    void anInstanceAtTheAnnouncedAddressRefutesAMove() {
        registry.announce(REPLICA);
        DatabaseInstance other = instance("b", "ledger", 2, 100);
        registry.announce(other);
        DatabaseInstance announced = instance("a", "ledger", 2, 200);
        Map<DatabaseInstance, Presence> observations = new HashMap<>();
        AnnouncementReview.instancesToCheck(registry, announced)
                .forEach(checked -> observations.put(checked, Presence.REPLACED));
        observations.put(other, Presence.RUNNING);

        assertThat(observations.keySet()).containsExactly(REPLICA, other, announced);
        assertThat(AnnouncementReview.decide(announced, observations).outcome()).isEqualTo(Outcome.REFUTED);
    }

    /** A restart in place, a change and a new database wait for no connection. */
    @ParameterizedTest
    @CsvSource({"a, 1, 200", "a, 1, 100", "b, 2, 100"})
    void announcementsThatContradictNothingAreNotChecked(String id, int port, long bornMs) {
        registry.announce(REPLICA);

        assertThat(AnnouncementReview.instancesToCheck(registry, instance(id, "ledger", port, bornMs)))
                .isEmpty();
    }

    /** Entries that name no database are limited, and the limit refuses no database that responds. */
    @ParameterizedTest
    @CsvSource({"RUNNING, ACCEPTED", "REPLACED, UNCONFIRMED", "NOT_LISTENING, UNCONFIRMED", "UNKNOWN, UNCONFIRMED"})
    void aServiceWithManyInstancesAddsOnlyThoseThatRespond(Presence presence, Outcome expected) {
        for (int port = 1; port <= AnnouncementReview.MAX_UNCHECKED_INSTANCES; port++) {
            registry.announce(instance("i" + port, "ledger", port, 100));
        }
        DatabaseInstance announced = instance("b", "ledger", 9_000, 100);
        assertThat(AnnouncementReview.instancesToCheck(registry, announced)).containsExactly(announced);
        assertThat(AnnouncementReview.instancesToCheck(registry, instance("b", "audit", 9_000, 100)))
                .isEmpty();

        assertThat(AnnouncementReview.decide(announced, Map.of(announced, presence))
                        .outcome())
                .isEqualTo(expected);
    }

    private static DatabaseInstance instance(String id, String service, int port, long bornMs) {
        return new DatabaseInstance(id, service, new Address("10.0.0.1", port), "domain", 2, false, false, bornMs, 1);
    }
}
