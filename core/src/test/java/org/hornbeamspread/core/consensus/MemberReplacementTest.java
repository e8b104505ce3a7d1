package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A voter that is gone for good and its successor must not both count for seconds: four voters, of which one is gone and one
 * loses its disk while all are killed, never elect a leader again.
 */
final class MemberReplacementTest {
    /** Time from the start of a process until its log answers. */
    private static final int PROCESS_START_MS = 1_000;

    private static final int STRIKE_STEP_MS = 50;
    private static final int STRIKES = 80;
    private static final int DOWNTIME_MS = 1_000;
    private static final int ELECTION_BOUND_MS = 4_000;

    /** One of three voters is replaced; the replaced member stops counting 4 s after its successor starts. */
    @ParameterizedTest
    @CsvSource({"300, true", "300, false", "1000, true", "1000, false", "2000, true", "2000, false"})
    void theLossOfADiskAfterAReplacementLeavesALeader(int successorStartMs, boolean leaderIsReplaced) {
        List<String> withoutLeader = new ArrayList<>();
        for (int strike = 0; strike < STRIKES; strike++) {
            int strikeMs = successorStartMs + 4_000 + strike * STRIKE_STEP_MS;
            for (int victim = 0; victim < 3; victim++) {
                ReplacementScenario scenario = new ReplacementScenario(3, 3, strike * 3 + victim);
                List<String> remaining = new ArrayList<>(scenario.harness.hosts.keySet());
                String replaced = leaderIsReplaced
                        ? scenario.leaderId()
                        : scenario.followerIds().get(0);
                remaining.remove(replaced);
                scenario.lose(replaced);
                scenario.run(successorStartMs + PROCESS_START_MS);
                remaining.add(scenario.startSuccessor());
                scenario.run(strikeMs - successorStartMs - PROCESS_START_MS);
                scenario.killAll(List.of(remaining.get(victim)), DOWNTIME_MS);
                if (!scenario.hasLeaderWithin(ELECTION_BOUND_MS)) {
                    withoutLeader.add(strikeMs + " ms " + remaining.get(victim));
                }
            }
        }
        assertWithMessage("losses after which no leader followed")
                .that(withoutLeader)
                .isEmpty();
    }

    /** All are killed at any moment of the substitution and keep their disks; it begins later where a leader is elected first. */
    @ParameterizedTest
    @CsvSource({"true, 2300, 3900", "false, 1900, 2400"})
    void aKillOfAllDuringASubstitutionLeavesALeaderAndThreeVoters(boolean leaderIsReplaced, int fromMs, int toMs) {
        for (int strikeMs = fromMs; strikeMs < toMs; strikeMs += 5) {
            ReplacementScenario scenario = new ReplacementScenario(3, 3, strikeMs);
            String replaced = leaderIsReplaced
                    ? scenario.leaderId()
                    : scenario.followerIds().get(0);
            scenario.lose(replaced);
            scenario.run(PROCESS_START_MS);
            String successor = scenario.startSuccessor();
            scenario.run(strikeMs - PROCESS_START_MS);
            scenario.killAll(List.of(), DOWNTIME_MS);
            assertWithMessage("leader after %s ms", strikeMs)
                    .that(scenario.hasLeaderWithin(ELECTION_BOUND_MS))
                    .isTrue();
            scenario.run(ELECTION_BOUND_MS);
            assertWithMessage("voters after %s ms", strikeMs)
                    .that(scenario.voterIds())
                    .contains(successor);
            assertWithMessage("voters after %s ms", strikeMs)
                    .that(scenario.voterIds())
                    .doesNotContain(replaced);
        }
    }

    /** Two of six members are replaced, of which five vote; they stop counting 6 s after their successors start. */
    @ParameterizedTest
    @CsvSource({"300, true", "300, false", "2000, true", "2000, false"})
    void theLossOfTwoDisksAfterTwoReplacementsLeavesALeader(int successorStartMs, boolean leaderIsReplaced) {
        List<String> withoutLeader = new ArrayList<>();
        for (int strike = 0; strike < STRIKES; strike += 2) {
            int strikeMs = successorStartMs + 6_000 + strike * STRIKE_STEP_MS;
            for (int victim = 0; victim < 5; victim++) {
                ReplacementScenario scenario = new ReplacementScenario(5, 5, strike * 5 + victim);
                scenario.startSuccessor();
                scenario.run(3_000);
                List<String> remaining = new ArrayList<>(scenario.harness.hosts.keySet());
                List<String> replaced = leaderIsReplaced
                        ? List.of(scenario.leaderId(), scenario.followerIds().get(1))
                        : scenario.followerIds().subList(0, 2);
                remaining.removeAll(replaced);
                replaced.forEach(scenario::lose);
                scenario.run(successorStartMs + PROCESS_START_MS);
                remaining.add(scenario.startSuccessor());
                remaining.add(scenario.startSuccessor());
                scenario.run(strikeMs - successorStartMs - PROCESS_START_MS);
                List<String> lostDisks = List.of(remaining.get(victim), remaining.get((victim + 1) % 6));
                scenario.killAll(lostDisks, DOWNTIME_MS);
                if (!scenario.hasLeaderWithin(ELECTION_BOUND_MS)) {
                    withoutLeader.add(strikeMs + " ms " + lostDisks);
                }
            }
        }
        assertWithMessage("losses after which no leader followed")
                .that(withoutLeader)
                .isEmpty();
    }

    /** A member that is suspended or restarts keeps its vote where no standby waits, and becomes a standby where one does. */
    @ParameterizedTest
    @CsvSource({
        "3000, false, false", "3000, false, true", "3000, true, false", "3000, true, true",
        "6000, false, false", "6000, false, true", "6000, true, false", "6000, true, true"
    })
    void aSuspendedMemberLosesItsVoteOnlyToAStandby(int suspendedMs, boolean standbyWaits, boolean suspendsLeader) {
        ReplacementScenario scenario = new ReplacementScenario(3, 3, suspendedMs);
        if (standbyWaits) {
            scenario.startSuccessor();
            scenario.run(1_000);
        }
        int changesBefore = scenario.harness.checker.membershipChanges();
        String suspended =
                suspendsLeader ? scenario.leaderId() : scenario.followerIds().get(0);
        scenario.suspend(suspended, suspendedMs);
        scenario.run(10_000);
        int changes = scenario.harness.checker.membershipChanges() - changesBefore;

        assertThat(scenario.voterIds()).hasSize(3);
        assertThat(standbyWaits || scenario.voterIds().contains(suspended)).isTrue();
        assertThat(scenario.membership().find(suspended)).isNotEqualTo(Optional.empty());
        assertThat(changes).isAtMost(standbyWaits ? 4 : 0);
    }

    @Test
    void twoMembersThatAreSilentInTurnAlternateAtMostOncePerHoldTime() {
        ReplacementScenario scenario = new ReplacementScenario(3, 3, 1);
        String standby = scenario.startSuccessor();
        scenario.run(1_000);
        String voter = scenario.followerIds().get(0);
        int changesBefore = scenario.harness.checker.membershipChanges();
        for (int i = 0; i < 5; i++) {
            scenario.suspend(voter, 3_000);
            scenario.suspend(standby, 3_000);
        }
        // 30 s: three substitutions of two changes each.
        assertThat(scenario.harness.checker.membershipChanges() - changesBefore).isAtMost(6);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDepartingMemberHandsItsVoteOverToAStandbyWhileItRuns(boolean leaderDeparts) {
        ReplacementScenario scenario = new ReplacementScenario(3, 3, 1);
        String standby = scenario.startSuccessor();
        scenario.run(1_000);
        String departing =
                leaderDeparts ? scenario.leaderId() : scenario.followerIds().get(0);
        scenario.announceDeparture(departing);
        scenario.run(200);
        assertThat(scenario.voterIds()).doesNotContain(departing);
        scenario.lose(departing);
        scenario.run(leaderDeparts ? 2_000 : 0);
        assertThat(scenario.voterIds()).contains(standby);
        assertThat(scenario.voterIds()).hasSize(3);
    }

    @Test
    void aRestartWithoutAStandbyDoesNotShrinkTheQuorum() {
        ReplacementScenario scenario = new ReplacementScenario(3, 3, 1);
        String departing = scenario.followerIds().get(0);
        scenario.announceDeparture(departing);
        scenario.run(200);
        assertThat(scenario.voterIds()).hasSize(3);
    }
}
