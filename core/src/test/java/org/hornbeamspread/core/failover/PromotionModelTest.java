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

/** With all five rules no small history loses an acknowledged write; without any one of them some history does. */
final class PromotionModelTest {
    private static final int WRITES = 2;

    @ParameterizedTest
    @CsvSource({"3, 0, 286390", "2, 1, 355034"})
    void noHistoryLosesAnAcknowledgedWrite(int promotions, int lostDisks, int states) {
        PromotionSearch search = new PromotionSearch(
                new SafePromotionRules(), AcknowledgementPolicy.byQuorumTracker(), WRITES, promotions, lostDisks);
        assertThat(search.firstLoss()).isEmpty();
        assertThat(search.states()).isEqualTo(states);
    }

    static Stream<Arguments> rulesLeftOut() {
        return Stream.of(
                Arguments.of(
                        Named.of("2: a quorum of fenced databases", new DelegatingRules() {
                            @Override
                            public int fenceQuorum(int databases) {
                                return 1;
                            }
                        }),
                        0),
                Arguments.of(
                        Named.of("3: the order by term, then index", new DelegatingRules() {
                            @Override
                            public Comparator<DatabaseStatus> promotionOrder() {
                                return Comparator.comparing(
                                        status -> status.synced().indexEntries());
                            }
                        }),
                        0),
                Arguments.of(
                        Named.of("5: no trust after a lost disk", new DelegatingRules() {
                            @Override
                            public boolean isTrusted(
                                    DatabaseStatus status, Optional<Registration> registration, GroupRecord record) {
                                return true;
                            }
                        }),
                        1),
                Arguments.of(
                        Named.of("5: caught up before it is readmitted", new DelegatingRules() {
                            @Override
                            public boolean mayReadmit(
                                    DatabaseStatus replica, DatabaseStatus primary, GroupRecord record) {
                                return true;
                            }
                        }),
                        1));
    }

    @ParameterizedTest
    @MethodSource("rulesLeftOut")
    void aHistoryWithoutOneRuleLosesAnAcknowledgedWrite(PromotionRules rules, int lostDisks) {
        assertLoses(new PromotionSearch(rules, AcknowledgementPolicy.byQuorumTracker(), WRITES, 3, lostDisks));
    }

    static Stream<Arguments> acknowledgementsTooEarly() {
        return Stream.of(
                Arguments.of(Named.of("1: a quorum of holders", AcknowledgementPolicy.byQuorumTracker(1))),
                Arguments.of(Named.of("4: the marker", AcknowledgementPolicy.withoutMarker())));
    }

    @ParameterizedTest
    @MethodSource("acknowledgementsTooEarly")
    void aHistoryOfEarlyAcknowledgementsLosesOne(AcknowledgementPolicy acknowledgement) {
        assertLoses(new PromotionSearch(new SafePromotionRules(), acknowledgement, WRITES, 3, 0));
    }

    private static void assertLoses(PromotionSearch search) {
        List<String> loss = search.firstLoss();
        assertWithMessage("steps to a loss").that(loss).isNotEmpty();
    }

    /** The safe rules, for one to be left out. */
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
