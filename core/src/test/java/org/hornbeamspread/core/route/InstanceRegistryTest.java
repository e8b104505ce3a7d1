package org.hornbeamspread.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.route.InstanceRegistry.AnnouncementStatus;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Announcements and departures may be late or repeated, and ids and addresses are reused. The registry must not restore
 * an outdated incarnation, and must retain a lost copy for each one that ended.
 */
final class InstanceRegistryTest {
    private static final DatabaseInstance REGISTERED = instance("a", 1, 100, 7, false);

    private final InstanceRegistry registry = new InstanceRegistry();

    @ParameterizedTest
    @MethodSource("announcementCases")
    void announcementsAreOrderedByStartTimeAndSequence(
            String name, DatabaseInstance announced, AnnouncementStatus expected) {
        registry.announce(REGISTERED);

        assertThat(registry.classify(announced)).isEqualTo(expected);
        registry.announce(announced);

        boolean applied = expected != AnnouncementStatus.OUTDATED;
        assertThat(registry.all().contains(announced)).isEqualTo(applied);
    }

    static Stream<Arguments> announcementCases() {
        return Stream.of(
                Arguments.of("a later sequence", instance("a", 1, 100, 8, false), AnnouncementStatus.UNCHANGED),
                Arguments.of("a change", instance("a", 1, 100, 8, true), AnnouncementStatus.NEW),
                Arguments.of("an earlier sequence", instance("a", 1, 100, 6, true), AnnouncementStatus.OUTDATED),
                Arguments.of(
                        "a later start time with a lower sequence",
                        instance("a", 1, 200, 1, false),
                        AnnouncementStatus.NEW),
                Arguments.of("an earlier start time", instance("a", 1, 50, 99, false), AnnouncementStatus.OUTDATED),
                Arguments.of("another id", instance("b", 2, 100, 1, false), AnnouncementStatus.NEW),
                Arguments.of(
                        "an earlier holder of the address",
                        instance("b", 1, 50, 9, false),
                        AnnouncementStatus.OUTDATED));
    }

    /** A deregistration without a start time refused its id for ever, though databases start again under the id that they had. */
    @Test
    void departureWithoutAStartTimeAppliesToTheRegisteredIncarnation() {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", Departure.EVERY_INCARNATION));
        registry.announce(REGISTERED);
        assertThat(registry.all()).isEmpty();

        DatabaseInstance restarted = instance("a", 1, 200, 1, false);
        registry.announce(restarted);
        assertThat(registry.all()).containsExactly(restarted);
    }

    /**
     * A delayed announcement of an earlier incarnation at the address of a departed database is no proof that the departed process
     * has ended, and commits that it acknowledged meanwhile were lost at a promotion.
     */
    @ParameterizedTest
    @CsvSource({"b, 1, 50, false", "b, 1, 100, false", "b, 1, 200, true", "b, 2, 200, false", "a, 2, 200, true"})
    void onlyALaterIncarnationSucceedsADepartedDatabase(String id, int port, long bornMs, boolean expected) {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));
        registry.announce(instance(id, port, bornMs, 1, false));

        assertThat(registry.hasSuccessor(LostCopy.of(REGISTERED))).isEqualTo(expected);
    }

    @Test
    void aLaterInstanceReplacesTheOneAtItsAddress() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 1, 200, 1, false));

        assertThat(registry.find("a")).isEmpty();
        assertThat(registry.find("b")).isPresent();
    }

    @Test
    void aLateAnnouncementDoesNotReaddADepartedInstance() {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));

        registry.announce(instance("a", 1, 100, 9, false));
        assertThat(registry.all()).isEmpty();

        registry.announce(instance("a", 1, 101, 1, false));
        assertThat(registry.find("a")).isPresent();
    }

    @Test
    void aLateDepartureDoesNotRemoveALaterIncarnation() {
        registry.announce(instance("a", 1, 200, 1, false));
        registry.depart(new Departure("a", 100));

        assertThat(registry.find("a")).isPresent();
    }

    @Test
    void aRestoredRegistryMakesTheSameDecisions() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 300, 1, false));
        registry.depart(new Departure("b", 300));
        InstanceRegistry restored = new InstanceRegistry();
        restored.announce(instance("z", 9, 100, 1, false));
        restored.depart(new Departure("z", 100));
        restored.restore(registry.all(), registry.departures(), registry.lostCopies());

        assertThat(restored.all()).containsExactly(REGISTERED);
        assertThat(restored.classify(instance("b", 2, 300, 1, false))).isEqualTo(AnnouncementStatus.OUTDATED);
        assertThat(restored.lostCopies()).containsExactly(lostCopy("b", 2, 300));
    }

    @Test
    void aRestartUnderTheSameIdLeavesALostCopy() {
        registry.announce(REGISTERED);
        registry.announce(instance("a", 1, 200, 1, false));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100));
    }

    @Test
    void aRestartAtAnotherAddressLeavesALostCopyAtTheOldAddress() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 150, 1, false));
        registry.announce(instance("a", 2, 200, 1, false));

        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100), lostCopy("b", 2, 150))
                .inOrder();
    }

    @Test
    void aDatabaseWhoseAddressIsReusedLeavesALostCopy() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 1, 200, 1, false));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100));
    }

    /** The departure may have a later start time than the registered incarnation. */
    @ParameterizedTest
    @ValueSource(longs = {100, 130})
    void aDepartureLeavesALostCopy(long departedMs) {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", departedMs));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100));
    }

    @ParameterizedTest
    @MethodSource("callsThatEndNoIncarnation")
    void noLostCopyIsAddedWhenNoIncarnationEnds(String name, Consumer<InstanceRegistry> calls) {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 100, 1, false));
        registry.depart(new Departure("b", 100));
        calls.accept(registry);

        assertThat(registry.lostCopies()).containsExactly(lostCopy("b", 2, 100));
    }

    static Stream<Arguments> callsThatEndNoIncarnation() {
        return Stream.of(
                endsNoIncarnation("a later sequence", target -> target.announce(instance("a", 1, 100, 8, false))),
                endsNoIncarnation("a change", target -> target.announce(instance("a", 1, 100, 8, true))),
                endsNoIncarnation("another address", target -> target.announce(instance("a", 3, 100, 8, false))),
                endsNoIncarnation("an earlier start time", target -> target.announce(instance("a", 1, 50, 99, false))),
                endsNoIncarnation(
                        "an earlier holder of the address", target -> target.announce(instance("c", 1, 50, 9, false))),
                endsNoIncarnation(
                        "an announcement of a departed database",
                        target -> target.announce(instance("b", 1, 100, 9, false))),
                endsNoIncarnation("a late departure", target -> target.depart(new Departure("a", 99))),
                endsNoIncarnation("a repeated departure", target -> target.depart(new Departure("b", 100))),
                endsNoIncarnation(
                        "a departure of an unregistered database", target -> target.depart(new Departure("c", 100))));
    }

    /** The latest by start time, since a late announcement may temporarily register an earlier incarnation again. */
    @Test
    void onlyTheLatestLostCopyOfAnAddressIsKept() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 1, 200, 1, false));
        registry.announce(instance("b", 1, 300, 1, false));
        assertThat(registry.lostCopies()).containsExactly(lostCopy("b", 1, 200));

        registry.depart(new Departure("b", 300));
        registry.announce(instance("c", 1, 250, 1, false));
        registry.depart(new Departure("c", 250));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("b", 1, 300));
    }

    @Test
    void lostCopiesOfDifferentServicesAreKeptSeparately() {
        Address address = REGISTERED.address();
        registry.announce(REGISTERED);
        registry.announce(new DatabaseInstance("b", "audit", address, "domain", 2, false, false, 200, 1));
        registry.depart(new Departure("b", 200));

        assertThat(registry.lostCopies())
                .containsExactly(new LostCopy("audit", address, "b", 200), lostCopy("a", 1, 100))
                .inOrder();
    }

    @Test
    void aRecoveredCopyIsRemovedUnlessALaterIncarnationEndedAtItsAddress() {
        for (int port = 1; port <= 3; port++) {
            registry.announce(instance("d" + port, port, 100, 1, false));
            registry.announce(instance("d" + port, port, 200, 1, false));
        }
        List<LostCopy> recovered = List.of(lostCopy("d1", 1, 100), lostCopy("d2", 2, 100));
        registry.depart(new Departure("d2", 200));
        registry.markRecovered(recovered);

        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("d2", 2, 200), lostCopy("d3", 3, 100))
                .inOrder();
    }

    private static Arguments endsNoIncarnation(String name, Consumer<InstanceRegistry> calls) {
        return Arguments.of(name, calls);
    }

    private static LostCopy lostCopy(String id, int port, long bornMs) {
        return new LostCopy("ledger", new Address("10.0.0.1", port), id, bornMs);
    }

    private static DatabaseInstance instance(String id, int port, long bornMs, long sequence, boolean draining) {
        return new DatabaseInstance(
                id, "ledger", new Address("10.0.0.1", port), "domain", 2, draining, false, bornMs, sequence);
    }
}
