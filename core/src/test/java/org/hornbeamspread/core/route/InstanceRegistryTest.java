package org.hornbeamspread.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
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
 * Announcements and departures may be late or repeated, other writers send some, and ids and addresses are reused. The registry must not
 * restore an outdated incarnation, must not remove an instance because of an announcement of another id, and must retain a lost copy
 * for each one that it removes.
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
                        "another id at the address, born earlier",
                        instance("b", 1, 50, 9, false),
                        AnnouncementStatus.NEW),
                Arguments.of(
                        "another id at the address, born later",
                        instance("b", 1, 200, 1, false),
                        AnnouncementStatus.NEW));
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
     * An announcement at the address of a departed database is no proof that the departed process has ended, and commits that it
     * acknowledged meanwhile were lost at a promotion. Only a later start of its id at its address is: that one is whoever responds there.
     */
    @ParameterizedTest
    @CsvSource({
        "b, 1, 50, false",
        "b, 1, 100, false",
        "b, 1, 200, false",
        "b, 2, 200, false",
        "a, 2, 200, false",
        "a, 1, 200, true"
    })
    void onlyALaterStartAtTheSamePlaceEndsADepartedDatabase(String id, int port, long bornMs, boolean expected) {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));
        registry.announce(instance(id, port, bornMs, 1, false));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, expected));
    }

    /**
     * An announcement of another id ended the instance at its address, and the running replica was neither counted nor fenced at the next
     * promotion (review case 7). Whatever the id, the service and the start time, both stay registered until one is observed to have ended.
     */
    @ParameterizedTest
    @CsvSource({"ledger, 50", "ledger, 100", "ledger, 200", "audit, 50", "audit, 200"})
    void anInstanceStaysRegisteredWhenAnotherAnnouncesItsAddress(String service, long bornMs) {
        registry.announce(REGISTERED);
        DatabaseInstance other =
                new DatabaseInstance("b", service, REGISTERED.address(), "domain", 2, false, false, bornMs, 1);
        registry.announce(other);

        assertThat(registry.all()).containsExactly(REGISTERED, other);
        assertThat(registry.lostCopies()).isEmpty();
        assertThat(registry.contradictedBy(other)).containsExactly(REGISTERED);
        assertThat(registry.withSharedAddress()).containsExactly(REGISTERED, other);
        assertThat(registry.classify(instance("a", 1, 100, 8, false))).isEqualTo(AnnouncementStatus.UNCHANGED);

        registry.end(LostCopy.of(REGISTERED, true));
        assertThat(registry.all()).containsExactly(other);
        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, true));
    }

    /** An id at another place contradicts the registered instance; its copy counts there until its process was checked. */
    @ParameterizedTest
    @CsvSource({"ledger, 2, 200", "ledger, 2, 100", "audit, 1, 200"})
    void anIdAtAnotherPlaceLeavesACopyThatMayRun(String service, int port, long bornMs) {
        registry.announce(REGISTERED);
        DatabaseInstance moved =
                new DatabaseInstance("a", service, new Address("10.0.0.1", port), "domain", 2, false, false, bornMs, 8);
        assertThat(registry.contradictedBy(moved)).containsExactly(REGISTERED);
        registry.announce(moved);

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, false));
    }

    /** A copy that another writer deregistered counts once, as the member, when its instance is registered again. */
    @Test
    void aRunningCopyThatIsRegisteredAgainIsNotLost() {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));
        registry.reinstate(REGISTERED, OptionalLong.empty());

        assertThat(registry.all()).containsExactly(REGISTERED);
        assertThat(registry.lostCopies()).isEmpty();
    }

    /** The copy of an earlier incarnation was dropped with that of the instance which was registered again, and its loss forgotten. */
    @Test
    void theLossOfAnEarlierIncarnationOutlivesADepartureOfTheLaterOne() {
        registry.announce(REGISTERED);
        DatabaseInstance restarted = instance("a", 1, 200, 1, false);
        registry.announce(restarted);
        registry.depart(new Departure("a", Departure.EVERY_INCARNATION));
        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 200, false), lostCopy("a", 1, 100, true));
        registry.reinstate(restarted, OptionalLong.empty());

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, true));
    }

    /** An end that was observed applies to one incarnation, not to a later one. */
    @Test
    void theEndOfAnEarlierIncarnationHasNoEffect() {
        registry.announce(instance("a", 1, 200, 1, false));
        registry.end(LostCopy.of(REGISTERED, true));

        assertThat(registry.find("a")).isPresent();
        assertThat(registry.lostCopies()).isEmpty();
    }

    /** The process of a departed copy was observed to have ended; every later leader relies on it. */
    @Test
    void theEndOfADepartedCopyIsRetained() {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));
        registry.end(LostCopy.of(REGISTERED, true));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, true));
    }

    /** A departure and a later start time were believed for good, though they came from another writer. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRunningInstanceIsReinstated(boolean departed) {
        registry.announce(REGISTERED);
        if (departed) {
            registry.depart(new Departure("a", 100));
        } else {
            registry.announce(instance("a", 1, 9_000, 1, false));
        }
        DatabaseInstance running = instance("a", 1, 100, 12, false);
        assertThat(registry.classify(running)).isEqualTo(AnnouncementStatus.OUTDATED);
        registry.reinstate(running, departed ? OptionalLong.empty() : OptionalLong.of(9_000));

        assertThat(registry.all()).containsExactly(running);
        assertThat(registry.classify(instance("a", 1, 100, 13, false))).isEqualTo(AnnouncementStatus.UNCHANGED);
    }

    /**
     * A later start that another writer had announced left a lost copy when the running instance was registered again, of a process that never
     * existed, so that nobody was promoted after the crash of the primary. Losses before the running instance started are kept.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aStartThatHasNotTakenPlaceLeavesNoLostCopy(boolean repeated) {
        registry.announce(REGISTERED);
        DatabaseInstance running = instance("a", 1, 200, 1, false);
        registry.announce(running);
        registry.announce(instance("a", 1, 8_000, 1, false));
        if (repeated) {
            registry.announce(instance("a", 1, 9_000, 1, false));
        }
        registry.reinstate(running, OptionalLong.of(repeated ? 9_000 : 8_000));

        assertThat(registry.all()).containsExactly(running);
        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, true));
        registry.markRecovered(registry.lostCopies());
        registry.announce(instance("a", 1, 8_000, 1, false));
        registry.reinstate(running, OptionalLong.of(8_000));
        assertThat(registry.lostCopies()).isEmpty();
    }

    /** A restart of the instance was registered between the observation and its commit; the reinstatement would have dropped the loss. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aReinstatementDoesNotDisplaceAnIncarnationThatFollowed(boolean departed) {
        registry.announce(REGISTERED);
        if (departed) {
            registry.depart(new Departure("a", 100));
        } else {
            registry.announce(instance("a", 1, 8_000, 1, false));
        }
        DatabaseInstance restarted = instance("a", 1, 9_000, 1, false);
        registry.announce(restarted);
        List<LostCopy> lostCopies = registry.lostCopies();
        registry.reinstate(instance("a", 1, 100, 12, false), departed ? OptionalLong.empty() : OptionalLong.of(8_000));

        assertThat(registry.all()).containsExactly(restarted);
        assertThat(registry.lostCopies()).isEqualTo(lostCopies);
        assertThat(lostCopies).hasSize(1);
    }

    /** Entries of a service that no configuration has named are not members of any group, nor do they contradict one. */
    @Test
    void announcementsOfUnnamedServicesAreIgnored() {
        DatabaseInstance early = instance("a", 1, 100, 1, false);
        DatabaseInstance unnamed =
                new DatabaseInstance("b", "other9", early.address(), "domain", 2, false, false, 200, 1);
        registry.announce(early);
        registry.announce(unnamed);
        registry.depart(new Departure("b", 200));
        registry.nameServices(List.of("ledger"));
        registry.announce(new DatabaseInstance("c", "other9", early.address(), "domain", 2, false, false, 200, 1));

        assertThat(registry.all()).containsExactly(early);
        assertThat(registry.lostCopies()).isEmpty();
        assertThat(registry.classify(
                        new DatabaseInstance("a", "other9", early.address(), "domain", 2, false, false, 200, 1)))
                .isEqualTo(AnnouncementStatus.UNNAMED_SERVICE);
    }

    /** A configuration that drops a service, and a later one that names it again, leave its copies as they were. */
    @Test
    void copiesOfAServiceThatIsNamedAgainAreAsTheyWere() {
        registry.nameServices(List.of("ledger", "audit"));
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 100, 1, false));
        registry.announce(instance("b", 2, 200, 1, false));
        registry.nameServices(List.of("audit"));
        registry.announce(instance("a", 1, 300, 1, false));
        registry.nameServices(List.of("ledger", "audit"));

        assertThat(registry.all()).containsExactly(instance("a", 1, 300, 1, false), instance("b", 2, 200, 1, false));
        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100, true), lostCopy("b", 2, 100, true))
                .inOrder();
    }

    /** A service without instances that is no longer named counts as one that no configuration has named. */
    @Test
    void aDroppedServiceWithoutCopiesIsForgotten() {
        registry.nameServices(List.of("ledger", "audit"));
        registry.nameServices(List.of("audit"));

        assertThat(registry.namedServices()).containsExactly("audit");
        assertThat(registry.classify(REGISTERED)).isEqualTo(AnnouncementStatus.UNNAMED_SERVICE);
    }

    /** An earlier version stored no named services, and had registered the instances of all; none is dropped. */
    @Test
    void instancesOfAnEarlierVersionKeepTheirService() {
        registry.restore(List.of(REGISTERED), List.of(), List.of(), List.of("audit"));

        assertThat(registry.namedServices()).containsExactly("audit", "ledger");
        assertThat(registry.classify(instance("a", 1, 100, 8, false))).isEqualTo(AnnouncementStatus.UNCHANGED);
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
        restored.restore(registry.all(), registry.departures(), registry.lostCopies(), registry.namedServices());

        assertThat(restored.all()).containsExactly(REGISTERED);
        assertThat(restored.classify(instance("b", 2, 300, 1, false))).isEqualTo(AnnouncementStatus.OUTDATED);
        assertThat(restored.lostCopies()).containsExactly(lostCopy("b", 2, 300, false));
    }

    @Test
    void aRestartUnderTheSameIdLeavesALostCopy() {
        registry.announce(REGISTERED);
        registry.announce(instance("a", 1, 200, 1, false));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, true));
    }

    /** The id that has moved is at the address of another one, which stays registered until it is observed to have ended. */
    @Test
    void aRestartAtAnotherAddressLeavesALostCopyAtTheOldAddress() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 150, 1, false));
        registry.announce(instance("a", 2, 200, 1, false));
        registry.end(lostCopy("b", 2, 150, true));

        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100, false), lostCopy("b", 2, 150, true))
                .inOrder();
    }

    /** The departure may have a later start time than the registered incarnation. */
    @ParameterizedTest
    @ValueSource(longs = {100, 130})
    void aDepartureLeavesALostCopy(long departedMs) {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", departedMs));

        assertThat(registry.lostCopies()).containsExactly(lostCopy("a", 1, 100, false));
    }

    @ParameterizedTest
    @MethodSource("callsThatEndNoIncarnation")
    void noLostCopyIsAddedWhenNoIncarnationEnds(String name, Consumer<InstanceRegistry> calls) {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 2, 100, 1, false));
        registry.depart(new Departure("b", 100));
        calls.accept(registry);

        assertThat(registry.lostCopies()).containsExactly(lostCopy("b", 2, 100, false));
    }

    static Stream<Arguments> callsThatEndNoIncarnation() {
        return Stream.of(
                endsNoIncarnation("a later sequence", target -> target.announce(instance("a", 1, 100, 8, false))),
                endsNoIncarnation("a change", target -> target.announce(instance("a", 1, 100, 8, true))),
                endsNoIncarnation("an earlier start time", target -> target.announce(instance("a", 1, 50, 99, false))),
                endsNoIncarnation(
                        "an earlier holder of the address", target -> target.announce(instance("c", 1, 50, 9, false))),
                endsNoIncarnation(
                        "a later holder of the address", target -> target.announce(instance("c", 1, 500, 1, false))),
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
    void onlyTheLatestLostCopyOfAnIdAtAnAddressIsKept() {
        registry.announce(REGISTERED);
        registry.announce(instance("b", 1, 200, 1, false));
        registry.end(lostCopy("a", 1, 100, true));
        registry.announce(instance("b", 1, 300, 1, false));
        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100, true), lostCopy("b", 1, 200, true))
                .inOrder();

        registry.depart(new Departure("b", 300));
        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100, true), lostCopy("b", 1, 300, false), lostCopy("b", 1, 200, true))
                .inOrder();
    }

    /**
     * Each address had one lost copy, that of the latest start time, so that the departure of an instance that named the address of a departed
     * one took the copy of the departed process, which still acknowledged, out of the count.
     */
    @Test
    void aLostCopyIsNotReplacedByThatOfAnotherIdAtItsAddress() {
        registry.announce(REGISTERED);
        registry.depart(new Departure("a", 100));
        registry.announce(instance("b", 1, 900, 1, false));
        registry.depart(new Departure("b", 900));

        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("a", 1, 100, false), lostCopy("b", 1, 900, false))
                .inOrder();
    }

    @Test
    void lostCopiesOfDifferentServicesAreKeptSeparately() {
        Address address = REGISTERED.address();
        registry.announce(REGISTERED);
        registry.announce(new DatabaseInstance("b", "audit", address, "domain", 2, false, false, 200, 1));
        registry.depart(new Departure("b", 200));
        registry.depart(new Departure("a", 100));

        assertThat(registry.lostCopies())
                .containsExactly(new LostCopy("audit", address, "b", 200, false), lostCopy("a", 1, 100, false))
                .inOrder();
    }

    @Test
    void aRecoveredCopyIsRemovedUnlessALaterIncarnationEndedAtItsAddress() {
        for (int port = 1; port <= 3; port++) {
            registry.announce(instance("d" + port, port, 100, 1, false));
            registry.announce(instance("d" + port, port, 200, 1, false));
        }
        List<LostCopy> recovered = List.of(lostCopy("d1", 1, 100, true), lostCopy("d2", 2, 100, true));
        registry.depart(new Departure("d2", 200));
        registry.markRecovered(recovered);

        assertThat(registry.lostCopies())
                .containsExactly(lostCopy("d2", 2, 200, false), lostCopy("d3", 3, 100, true))
                .inOrder();
    }

    private static Arguments endsNoIncarnation(String name, Consumer<InstanceRegistry> calls) {
        return Arguments.of(name, calls);
    }

    private static LostCopy lostCopy(String id, int port, long bornMs, boolean processEnded) {
        return new LostCopy("ledger", new Address("10.0.0.1", port), id, bornMs, processEnded);
    }

    private static DatabaseInstance instance(String id, int port, long bornMs, long sequence, boolean draining) {
        return new DatabaseInstance(
                id, "ledger", new Address("10.0.0.1", port), "domain", 2, draining, false, bornMs, sequence);
    }
}
