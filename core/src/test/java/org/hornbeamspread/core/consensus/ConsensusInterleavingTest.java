package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.hornbeamspread.core.misc.FailureException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs random histories from fixed seeds. With all rules enabled no history violates an invariant; with any one of five
 * rules disabled some history does, so the checker detects the failure that the rule prevents.
 */
final class ConsensusInterleavingTest {
    private static final int STEPS = 4_000;

    @ParameterizedTest
    @CsvSource({
        "3, 1, 150, 4000, false",
        "5, 1001, 50, 4000, false",
        "3, 2001, 60, 4000, true",
        "5, 3001, 40, 4000, true",
        "1, 4001, 20, 4000, false",
        "3, 5001, 20, 40000, false"
    })
    void noHistoryViolatesAnInvariantWithAllRules(
            int members, long firstSeed, int seeds, int steps, boolean arbitraryMemberships) {
        int disksLost = 0;
        int readsConfirmed = 0;
        long committed = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            LogHarness harness = new LogHarness(members, seed, EnumSet.allOf(ConsensusRule.class));
            try {
                run(harness, steps, arbitraryMemberships);
                if (!arbitraryMemberships) {
                    new RandomDriver(harness, false).healAndVerifyProgress();
                }
            } catch (LogChecker.Violation | FailureException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            disksLost += harness.lostDiskCount;
            readsConfirmed += harness.confirmedReadCount;
            committed += harness.checker.lastCommitted();
        }
        System.out.printf(
                "members %d, seeds %d..%d: %d records committed, %d reads confirmed, %d disks lost%n",
                members, firstSeed, firstSeed + seeds - 1, committed, readsConfirmed, disksLost);
        assertWithMessage("committed records").that(committed).isGreaterThan(5L * seeds);
    }

    /** Two standbys take the places of silent voters and of voters that lost their disks. */
    @ParameterizedTest
    @CsvSource({"3, 6001, 60, 4000", "5, 7001, 30, 4000"})
    void noHistoryWithSubstitutionsViolatesAnInvariant(int voters, long firstSeed, int seeds, int steps) {
        int changes = 0;
        int disksLost = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            ConsensusParameters parameters = new ConsensusParameters(
                    100, 20, 1 << 16, 64, 1 << 20, 4, 1 << 20, new VoterPolicy(voters, 200, 400, 100));
            LogHarness harness = new LogHarness(voters, seed, EnumSet.allOf(ConsensusRule.class), parameters);
            try {
                harness.awaitBootstrap();
                addStandby(harness, "c" + (voters + 1));
                addStandby(harness, "c" + (voters + 2));
                new RandomDriver(harness, false).run(steps);
            } catch (LogChecker.Violation | FailureException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
            changes += harness.checker.membershipChanges();
            disksLost += harness.lostDiskCount;
        }
        System.out.printf("voters %d: %d membership changes, %d disks lost%n", voters, changes, disksLost);
        assertWithMessage("membership changes").that(changes).isGreaterThan(5 * seeds);
    }

    private static void addStandby(LogHarness harness, String id) {
        harness.addHost(id);
        harness.runUntil(() -> {
            harness.leader()
                    .filter(leader -> leader.node.membership().find(id).isEmpty())
                    .ifPresent(leader ->
                            leader.propose(Optional.of(leader.node.membership().withMember(new Member(id, 0, false)))));
            return harness.checker.committedMembership().orElseThrow().find(id).isPresent();
        });
    }

    @ParameterizedTest
    @CsvSource({
        "SYNC_BEFORE_ANSWER, false",
        "VOTE_FOR_COMPLETE_LOG, false",
        "CONFIRM_READS, false",
        "COUNT_INCARNATION, false",
        "ONE_CHANGE_AT_A_TIME, true"
    })
    void someHistoryViolatesAnInvariantWithoutTheRule(ConsensusRule rule, boolean arbitraryMemberships) {
        Set<ConsensusRule> rules = EnumSet.complementOf(EnumSet.of(rule));
        Optional<String> found = LongStream.rangeClosed(1, 2_000)
                .mapToObj(seed -> findViolation(seed, rules, arbitraryMemberships))
                .<String>mapMulti(Optional::ifPresent)
                .findFirst();
        System.out.println("without " + rule + ": " + found.orElse("no violation found"));
        assertWithMessage("without %s", rule).that(found).isPresent();
    }

    private static Optional<String> findViolation(long seed, Set<ConsensusRule> rules, boolean arbitraryMemberships) {
        LogHarness harness = new LogHarness(3, seed, rules);
        try {
            run(harness, STEPS, arbitraryMemberships);
            return Optional.empty();
        } catch (LogChecker.Violation | FailureException e) {
            return Optional.of("seed " + seed + ": " + e.getMessage());
        }
    }

    private static void run(LogHarness harness, int steps, boolean arbitraryMemberships) {
        harness.awaitBootstrap();
        new RandomDriver(harness, arbitraryMemberships).run(steps);
    }
}
