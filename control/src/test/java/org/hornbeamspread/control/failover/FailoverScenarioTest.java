package org.hornbeamspread.control.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.hornbeamspread.core.failover.GroupRecord;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures of databases, proxies and the control leader, and the resulting promotions of one group. After each step the
 * fixture checks that no proxy may write at an old term and that a database has at most one holder.
 */
final class FailoverScenarioTest {
    private static final Duration START_LIMIT = Duration.ofSeconds(3);
    private static final Duration OUTAGE_LIMIT = Duration.ofSeconds(4);
    private static final Duration STABLE_PERIOD = Duration.ofSeconds(10);

    private final ControlFixture control = new ControlFixture();

    @BeforeEach
    void start() {
        control.runUntilWritable(1, START_LIMIT);
        control.run(Duration.ofSeconds(2));
    }

    @Test
    void aNewGroupHasOnePrimaryThatAllReplicasFollow() {
        assertThat(control.record().term()).isEqualTo(1);
        assertThat(control.primary().isPrimary(1)).isTrue();
        assertThat(control.replicas().allMatch(replica -> replica.followedTerm == 1))
                .isTrue();
        assertThat(control.proxies.stream()
                        .allMatch(proxy ->
                                proxy.writableTerm(ControlFixture.GROUP).isPresent()))
                .isTrue();
        assertThat(control.appendedRecords.stream().map(GroupRecord::term)).containsExactly(1L, 1L, 1L);
    }

    static Stream<Named<Consumer<ControlFixture>>> primaryFailures() {
        return Stream.of(
                Named.of("stopped", control -> control.primary().running = false),
                Named.of("frozen", control -> control.primary().frozen = true),
                Named.of("cut off", control -> control.primary().partitioned = true),
                Named.of("cut off with its proxy", control -> {
                    String domain = control.primary().failureDomain;
                    control.primary().partitioned = true;
                    control.proxies.stream()
                            .filter(proxy -> proxy.id.endsWith(domain))
                            .forEach(proxy -> proxy.partitioned = true);
                }),
                Named.of("stopped while a proxy receives no answers", control -> {
                    control.primary().running = false;
                    control.proxies.get(0).responsesLost = true;
                }),
                Named.of("disk lost", control -> control.primary().loseDisk()),
                Named.of("restarted", control -> control.primary().restart()));
    }

    @ParameterizedTest
    @MethodSource("primaryFailures")
    void aFailedPrimaryIsReplacedWithinTheLimitAndReturnsAsReplica(Consumer<ControlFixture> failure) {
        FakeDatabase oldPrimary = control.primary();
        failure.accept(control);
        control.runUntilWritable(2, OUTAGE_LIMIT);
        control.run(STABLE_PERIOD);
        heal(oldPrimary);
        control.run(STABLE_PERIOD);
        assertThat(control.record().term()).isEqualTo(2);
        assertThat(control.replicas().allMatch(replica -> replica.followedTerm == 2 && replica.trusted))
                .isTrue();
        assertThat(control.databases.stream()
                        .filter(database -> database.isPrimary(2))
                        .count())
                .isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void theDatabaseWithTheHighestFencedPositionIsPromoted(int index) {
        FakeDatabase mostAdvanced = control.replicas().skip(index).findFirst().orElseThrow();
        mostAdvanced.synced = new LogPosition(1, mostAdvanced.synced.indexEntries() + 7);
        control.primary().running = false;
        control.runUntilWritable(2, OUTAGE_LIMIT);
        assertThat(control.primary()).isEqualTo(mostAdvanced);
    }

    @Test
    void aSecondFailoverWaitsForAMajorityAndThenCompletes() {
        FakeDatabase first = control.primary();
        first.running = false;
        control.runUntilWritable(2, OUTAGE_LIMIT);
        FakeDatabase second = control.primary();
        second.running = false;
        control.run(STABLE_PERIOD);
        assertThat(control.record().term()).isEqualTo(2);
        heal(first);
        control.runUntilWritable(3, OUTAGE_LIMIT);
    }

    @Test
    void aSecondPrimaryFailureSoonAfterRecoveryIsAlsoReplaced() {
        FakeDatabase first = control.primary();
        first.running = false;
        control.runUntilWritable(2, OUTAGE_LIMIT);
        heal(first);
        control.run(Duration.ofSeconds(1));
        control.primary().running = false;
        control.runUntilWritable(3, OUTAGE_LIMIT);
        assertThat(control.primary().synced.term()).isEqualTo(3);
    }

    @Test
    void aDatabaseThatLostItsDiskIsNotCountedUntilItHasCaughtUp() {
        FakeDatabase lost = control.replicas().findFirst().orElseThrow();
        control.primary().synced = new LogPosition(1, 50);
        lost.loseDisk();
        control.run(STABLE_PERIOD);
        assertThat(lost.trusted).isTrue();
        assertThat(lost.synced).isEqualTo(new LogPosition(1, 50));
        FakeDatabase other = control.replicas()
                .filter(replica -> replica != lost)
                .findFirst()
                .orElseThrow();
        lost.loseDisk();
        other.running = false;
        control.primary().running = false;
        control.run(STABLE_PERIOD);
        assertThat(control.record().term()).isEqualTo(1);
    }

    @Test
    void aFlappingLinkCausesFewPromotions() {
        for (int i = 0; i < 20; i++) {
            control.primary().partitioned = true;
            control.run(Duration.ofMillis(1400));
            control.databases.forEach(database -> database.partitioned = false);
            control.run(Duration.ofMillis(600));
        }
        assertThat(control.record().term()).isAtMost(3);
    }

    @Test
    void aPauseOfTheControlProcessCausesNoPromotion() {
        for (int i = 0; i < 5; i++) {
            control.primary().frozen = true;
            control.clock.advance(Duration.ofSeconds(3));
            control.run(Duration.ofMillis(400));
            control.primary().frozen = false;
            control.run(Duration.ofSeconds(2));
        }
        assertThat(control.record().term()).isEqualTo(1);
    }

    @Test
    void aShortSilenceCausesNoPromotion() {
        control.primary().frozen = true;
        control.run(Duration.ofMillis(800));
        control.primary().frozen = false;
        control.run(STABLE_PERIOD);
        assertThat(control.record().term()).isEqualTo(1);
    }

    static Stream<Integer> stepsBeforeLeaderChange() {
        return Stream.iterate(1, step -> step <= 160, step -> step + 6);
    }

    @ParameterizedTest
    @MethodSource("stepsBeforeLeaderChange")
    void aNewLeaderCompletesAPromotionFromAnyStep(int steps) {
        control.primary().running = false;
        for (int i = 0; i < steps; i++) {
            control.step();
        }
        control.changeLeader();
        control.runUntilWritable(2, OUTAGE_LIMIT.plus(ControlFixture.LEASE));
        control.run(STABLE_PERIOD);
        assertThat(control.record().term()).isEqualTo(2);
    }

    @Test
    void aNewLeaderKeepsTheHolders() {
        List<String> before = holders();
        control.changeLeader();
        control.run(STABLE_PERIOD);
        assertThat(holders()).isEqualTo(before);
        assertThat(control.record().term()).isEqualTo(1);
    }

    @Test
    void aDepartingPrimaryIsReplaced() {
        FakeDatabase oldPrimary = control.primary();
        oldPrimary.departing = true;
        control.runUntilWritable(2, Duration.ofSeconds(2));
        control.run(STABLE_PERIOD);
        assertThat(control.primary()).isNotEqualTo(oldPrimary);
        assertThat(control.record().term()).isEqualTo(2);
    }

    @Test
    void anOperatorCanSelectThePrimary() {
        String requested = control.replicas().skip(1).findFirst().orElseThrow().id;
        control.session().group(ControlFixture.GROUP).orElseThrow().failover().requestHandover(Optional.of(requested));
        control.runUntilWritable(2, Duration.ofSeconds(2));
        control.run(STABLE_PERIOD);
        assertThat(control.primary().id).isEqualTo(requested);
        assertThat(control.record().term()).isEqualTo(2);
    }

    @Test
    void theDatabaseOfADrainingProxyIsAssignedToAnotherHolder() {
        FakeProxy draining = control.proxies.get(0);
        String databaseId = control.databases.get(0).id;
        assertThat(draining.holds(ControlFixture.GROUP, databaseId)).isTrue();
        draining.draining = true;
        control.run(Duration.ofSeconds(2));
        assertThat(draining.holds(ControlFixture.GROUP, databaseId)).isFalse();
        assertThat(control.proxies.stream()
                        .filter(proxy -> proxy.holds(ControlFixture.GROUP, databaseId))
                        .count())
                .isEqualTo(1);
    }

    private List<String> holders() {
        return control.databases.stream()
                .map(database -> control.proxies.stream()
                        .filter(proxy -> proxy.holds(ControlFixture.GROUP, database.id))
                        .map(proxy -> proxy.id)
                        .findFirst()
                        .orElse("none"))
                .toList();
    }

    private void heal(FakeDatabase database) {
        if (!database.running) {
            database.restart();
        }
        database.frozen = false;
        database.partitioned = false;
        control.proxies.forEach(proxy -> proxy.partitioned = false);
        control.proxies.forEach(proxy -> proxy.responsesLost = false);
    }
}
