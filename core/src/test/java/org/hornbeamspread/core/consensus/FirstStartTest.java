package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The first start of a log while members fail. A log that needed every initial member never came into being when one of them was lost
 * before they had met.
 */
final class FirstStartTest {
    /** Three delays for the member that is last by name, an election, and the readmission of a member that returns. */
    private static final Duration RETURN_TIME = Duration.ofMillis(12 * LogHarness.ELECTION_TIMEOUT_MS);

    private static final long LAST_FAULT_MS = 60;

    /** The member that is lost for good, by rank, at each moment of the start. */
    @ParameterizedTest
    @CsvSource({"3, 1", "3, 2", "3, 3", "5, 1", "5, 4"})
    void logIsBootstrappedAlthoughAMemberIsLostForGood(int members, int rank) {
        for (long lostAtMs = 0; lostAtMs <= LAST_FAULT_MS; lostAtMs += 5) {
            LogHarness harness = LogHarness.firstStart(members, lostAtMs + 1);
            harness.runFor(Duration.ofMillis(lostAtMs));
            harness.host("c" + rank).crash();
            harness.runFor(RETURN_TIME);
            assertThatAChangeIsCommitted(harness);
        }
    }

    /** All processes of the core may be killed at the same moment and be back soon, with their disks. */
    @ParameterizedTest
    @CsvSource({"3, 2", "3, 3", "5, 3", "5, 5"})
    void logIsBootstrappedAlthoughSeveralMembersRestart(int members, int restarted) {
        for (long faultAtMs = 0; faultAtMs <= LAST_FAULT_MS; faultAtMs += 5) {
            for (int first = 1; first <= members; first++) {
                LogHarness harness = LogHarness.firstStart(members, faultAtMs + first);
                harness.runFor(Duration.ofMillis(faultAtMs));
                for (int i = 0; i < restarted; i++) {
                    harness.host("c" + (1 + (first + i) % members)).crash();
                }
                harness.runFor(Duration.ofMillis(LogHarness.ELECTION_TIMEOUT_MS));
                harness.healAll();
                harness.runFor(RETURN_TIME);
                assertThatAChangeIsCommitted(harness);
            }
        }
    }

    /** A member without its disk does not bootstrap; it is admitted by those that do. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void logIsBootstrappedAlthoughAMemberRestartsOrLosesItsDisk(int rank) {
        for (long faultAtMs = 0; faultAtMs <= LAST_FAULT_MS; faultAtMs += 5) {
            for (boolean losesDisk : new boolean[] {false, true}) {
                LogHarness harness = LogHarness.firstStart(3, faultAtMs + 1);
                harness.runFor(Duration.ofMillis(faultAtMs));
                LogHarness.Host host = harness.host("c" + rank);
                if (losesDisk) {
                    host.loseDisk();
                } else {
                    host.crash();
                }
                harness.runFor(Duration.ofMillis(LogHarness.ELECTION_TIMEOUT_MS));
                harness.healAll();
                harness.runFor(RETURN_TIME);
                assertThatAChangeIsCommitted(harness);
                harness.runUntil(harness::isEveryMemberVoter);
            }
        }
    }

    /** Members that start after the others have given up waiting for them are admitted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void memberThatIsCutOffAtTheFirstStartIsAdmittedLater(int rank) {
        LogHarness harness = LogHarness.firstStart(3, rank);
        harness.isolated.add("c" + rank);
        harness.runFor(RETURN_TIME);
        assertThatAChangeIsCommitted(harness);
        harness.healAll();
        harness.runUntil(harness::isEveryMemberVoter);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void aMemberAloneDoesNotBootstrap(int rank) {
        LogHarness harness = LogHarness.firstStart(3, rank);
        harness.hosts.values().stream()
                .filter(host -> !host.id.equals("c" + rank))
                .forEach(host -> harness.isolated.add(host.id));
        harness.runFor(RETURN_TIME.multipliedBy(3));
        assertThat(harness.host("c" + rank).node.isBlank()).isTrue();
    }

    /**
     * The second member has an early response of the third and then nothing; the first and the third bootstrap without it. It then
     * bootstraps as well, with another membership, and asks the third for its vote. No record of one log may replace one of the other.
     */
    @Test
    void membersThatBootstrapIndependentlyShareOneLog() {
        int severalMemberships = 0;
        for (long firstAloneMs = 0; firstAloneMs <= 10 * LogHarness.ELECTION_TIMEOUT_MS; firstAloneMs += 5) {
            LogHarness harness = LogHarness.firstStart(3, firstAloneMs + 1);
            runWithLink(harness, "c2", "c3", LogHarness.ELECTION_TIMEOUT_MS);
            runWithLink(harness, "c1", "c3", firstAloneMs);
            harness.leader().ifPresent(leader -> leader.propose(Optional.empty()));
            runWithLink(harness, "c1", "c3", LogHarness.HEARTBEAT_MS);
            runWithLink(harness, "", "", 3 * LogHarness.ELECTION_TIMEOUT_MS);
            runWithLink(harness, "c2", "c3", 5 * LogHarness.ELECTION_TIMEOUT_MS);
            severalMemberships += harness.countInitialMemberships() > 1 ? 1 : 0;
            harness.runUntil(harness::isEveryMemberVoter);
            assertThatAChangeIsCommitted(harness);
        }
        assertThat(severalMemberships).isGreaterThan(0);
    }

    /** A blank disk that replaces a lost one does not prove that nothing was committed. */
    @Test
    void memberThatLostItsDiskDoesNotBootstrapTheLogAgain() {
        LogHarness harness = LogHarness.firstStart(3, 1);
        runWithLink(harness, "c1", "c3", 6 * LogHarness.ELECTION_TIMEOUT_MS);
        assertThat(harness.checker.lastCommitted()).isGreaterThan(0);
        harness.host("c3").loseDisk();
        harness.host("c3").start();
        runWithLink(harness, "c2", "c3", 20 * LogHarness.ELECTION_TIMEOUT_MS);
        assertThat(harness.host("c2").node.isBlank()).isTrue();
    }

    /** Loses all messages but those between two members. */
    private static void runWithLink(LogHarness harness, String one, String other, long timeMs) {
        Set<String> ends = new HashSet<>(List.of(one + "-" + other, other + "-" + one));
        for (long ms = 0; ms < timeMs; ms += 5) {
            harness.runRound(packet -> ends.contains(packet.from() + "-" + packet.to()));
        }
    }

    /**
     * Messages are lost, delayed and repeated, members are cut off and crash, and one loses its disk at any moment, so that several
     * members bootstrap from different responses. A log of which a majority of the voters still has its disk returns.
     */
    @ParameterizedTest
    @CsvSource({"3, 1, 400", "5, 2001, 100"})
    void noHistoryOfAFirstStartViolatesAnInvariant(int members, long firstSeed, int seeds) {
        int bootstrapped = 0;
        int returned = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            LogHarness harness = LogHarness.firstStart(members, seed);
            RandomDriver driver = new RandomDriver(harness, false);
            try {
                driver.run(harness.random.nextInt(1_500));
                harness.host("c" + (1 + harness.random.nextInt(members))).loseDisk();
                driver.run(3_000);
                bootstrapped += harness.checker.committedMembership().isPresent() ? 1 : 0;
                if (harness.hasCurrentMajority()) {
                    returned++;
                    driver.healAndVerifyProgress();
                }
            } catch (LogChecker.Violation e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
        System.out.printf("members %d: %d of %d bootstrapped, %d returned%n", members, bootstrapped, seeds, returned);
        assertThat(bootstrapped).isGreaterThan(seeds / 2);
        assertThat(returned).isGreaterThan(seeds / 3);
    }

    private static void assertThatAChangeIsCommitted(LogHarness harness) {
        LogHarness.Host leader = harness.leader().orElseThrow();
        long before = harness.checker.lastCommitted();
        leader.propose(Optional.empty());
        harness.runFor(Duration.ofMillis(LogHarness.ELECTION_TIMEOUT_MS));
        assertThat(harness.checker.lastCommitted()).isGreaterThan(before);
    }
}
