package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Model check of the promotion rules: with all five rules no history within the bounds loses an acknowledged write, and
 * omitting any one rule produces a history that does.
 */
final class PromotionModelTest {
    private static final int WRITES = 2;

    @ParameterizedTest
    @CsvSource({"3, 0, 286390", "2, 1, 355034"})
    void noHistoryLosesAnAcknowledgedWrite(int promotions, int lostDisks, int states) {
        PromotionModelChecker checker = new PromotionModelChecker(
                new SafePromotionRules(), AcknowledgementPolicy.byQuorumTracker(), WRITES, promotions, lostDisks);
        assertThat(checker.findLossTrace()).isEmpty();
        assertThat(checker.visitedStates()).isEqualTo(states);
    }

    static Stream<Arguments> omittedRules() {
        return Stream.of(
                Arguments.of(
                        Named.of("rule 2, a quorum of fenced databases", new DelegatingRules() {
                            @Override
                            public int fenceQuorum(int databases) {
                                return 1;
                            }
                        }),
                        0),
                Arguments.of(
                        Named.of("rule 3, log order by term, then by index", new DelegatingRules() {
                            @Override
                            public Comparator<DatabaseStatus> promotionOrder() {
                                return Comparator.comparing(
                                        status -> status.synced().indexEntries());
                            }
                        }),
                        0),
                Arguments.of(
                        Named.of("rule 5, no trust after a disk loss", new DelegatingRules() {
                            @Override
                            public boolean isTrusted(
                                    DatabaseStatus status, Optional<Registration> registration, GroupRecord record) {
                                return true;
                            }
                        }),
                        1),
                Arguments.of(
                        Named.of("rule 5, caught up before it is readmitted", new DelegatingRules() {
                            @Override
                            public boolean mayReadmit(
                                    DatabaseStatus replica, DatabaseStatus primary, GroupRecord record) {
                                return true;
                            }
                        }),
                        1));
    }

    @ParameterizedTest
    @MethodSource("omittedRules")
    void omittingOneRuleLosesAnAcknowledgedWrite(PromotionRules rules, int lostDisks) {
        assertFindsLoss(
                new PromotionModelChecker(rules, AcknowledgementPolicy.byQuorumTracker(), WRITES, 3, lostDisks));
    }

    static Stream<Arguments> prematureAcknowledgements() {
        return Stream.of(
                Arguments.of(Named.of("rule 1, a quorum of holders", AcknowledgementPolicy.byQuorumTracker(1))),
                Arguments.of(Named.of("rule 4, the marker of a term", AcknowledgementPolicy.withoutMarker())));
    }

    @ParameterizedTest
    @MethodSource("prematureAcknowledgements")
    void prematureAcknowledgementLosesAnAcknowledgedWrite(AcknowledgementPolicy acknowledgement) {
        assertFindsLoss(new PromotionModelChecker(new SafePromotionRules(), acknowledgement, WRITES, 3, 0));
    }

    private static void assertFindsLoss(PromotionModelChecker checker) {
        List<String> trace = checker.findLossTrace();
        assertWithMessage("trace to a lost acknowledged write").that(trace).isNotEmpty();
    }

    /** Delegates to the safe rules, so that a subclass can omit one of them. */
    private abstract static class DelegatingRules implements PromotionRules {
        private final SafePromotionRules safe = new SafePromotionRules();

        @Override
        public int fenceQuorum(int databases) {
            return safe.fenceQuorum(databases);
        }

        @Override
        public Comparator<DatabaseStatus> promotionOrder() {
            return safe.promotionOrder();
        }

        @Override
        public boolean isTrusted(DatabaseStatus status, Optional<Registration> registration, GroupRecord record) {
            return safe.isTrusted(status, registration, record);
        }

        @Override
        public boolean mayReadmit(DatabaseStatus replica, DatabaseStatus primary, GroupRecord record) {
            return safe.mayReadmit(replica, primary, record);
        }
    }
}
