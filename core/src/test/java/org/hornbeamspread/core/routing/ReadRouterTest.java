package org.hornbeamspread.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.hornbeamspread.core.routing.Proximity.OTHER_REGION;
import static org.hornbeamspread.core.routing.Proximity.SAME_FAILURE_DOMAIN;
import static org.hornbeamspread.core.routing.Proximity.SAME_REGION;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

final class ReadRouterTest {
    private static final LogPosition MIN_POSITION = new LogPosition(2, 10);
    private static final LogPosition LAGGING_POSITION = new LogPosition(2, 9);
    private static final Duration ALLOWANCE = Duration.ofSeconds(2);
    private static final ReadRouter ROUTER = new ReadRouter(Duration.ofMillis(20), Duration.ofMillis(16));

    static Stream<Arguments> decisions() {
        ReadCandidate near = replica("near", SAME_FAILURE_DOMAIN, MIN_POSITION, 100, 5);
        ReadCandidate region = replica("region", SAME_REGION, MIN_POSITION, 100, 5);
        ReadCandidate far = replica("far", OTHER_REGION, MIN_POSITION, 100, 5);
        ReadCandidate nearPrimary = primary("primary", SAME_FAILURE_DOMAIN);
        ReadCandidate farPrimary = primary("primary", OTHER_REGION);
        return Stream.of(
                Arguments.of("own failure domain first", List.of(far, region, near), "Replica near"),
                Arguments.of("then own region", List.of(far, region, farPrimary), "Replica region"),
                Arguments.of("a replica before a near primary", List.of(region, nearPrimary), "Replica region"),
                Arguments.of("a near primary before a far replica", List.of(far, nearPrimary), "Primary primary"),
                Arguments.of("a far replica before a far primary", List.of(far, farPrimary), "Replica far"),
                Arguments.of(
                        "at the allowance", List.of(replica("r", SAME_REGION, MIN_POSITION, 2000, 5)), "Replica r"),
                Arguments.of("past the allowance", List.of(replica("r", SAME_REGION, MIN_POSITION, 2001, 5)), "Refuse"),
                Arguments.of(
                        "unknown staleness",
                        List.of(candidate("r", false, true, SAME_REGION, MIN_POSITION, -1, 5), nearPrimary),
                        "Primary primary"),
                Arguments.of(
                        "departing or unreachable",
                        List.of(candidate("r", false, false, SAME_REGION, MIN_POSITION, 1, 5), nearPrimary),
                        "Primary primary"),
                Arguments.of(
                        "behind, but usually caught up within the maximum wait",
                        List.of(replica("r", SAME_REGION, LAGGING_POSITION, 100, 5), nearPrimary),
                        "WaitForReplica r"),
                Arguments.of(
                        "behind, and slower than the maximum wait",
                        List.of(replica("r", SAME_REGION, LAGGING_POSITION, 100, 21), nearPrimary),
                        "Primary primary"),
                Arguments.of(
                        "behind, slower than a round trip to the primary",
                        List.of(replica("r", SAME_REGION, LAGGING_POSITION, 100, 17), farPrimary),
                        "Primary primary"),
                Arguments.of(
                        "behind, slower than the maximum wait, and no primary",
                        List.of(replica("r", SAME_REGION, LAGGING_POSITION, 100, 21)),
                        "Refuse"),
                Arguments.of("no database", List.of(), "Refuse"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("decisions")
    void nearestEligibleDatabaseServesTheRead(String name, List<ReadCandidate> candidates, String expected) {
        assertThat(describe(ROUTER.decide(candidates, MIN_POSITION, ALLOWANCE, true)))
                .isEqualTo(expected);
    }

    @Test
    void readWaitsAtMostOnceAndNeverWithZeroAllowance() {
        List<ReadCandidate> candidates =
                List.of(replica("r", SAME_REGION, LAGGING_POSITION, 1, 5), primary("primary", OTHER_REGION));
        assertThat(describe(ROUTER.decide(candidates, MIN_POSITION, ALLOWANCE, false)))
                .isEqualTo("Primary primary");
        assertThat(describe(ROUTER.decide(candidates, LogPosition.NONE, Duration.ZERO, true)))
                .isEqualTo("Primary primary");
    }

    @ParameterizedTest
    @CsvSource({"addis, 2", "addis-2, 2", "club-17, 1", "ሰላም, 2"})
    void aRoutingKeyAlwaysMapsToTheSameGroup(String key, int group) {
        assertThat(GroupRouting.groupOf(List.of("g0", "g1", "g2"), key)).isEqualTo("g" + group);
    }

    private static String describe(ReadDecision decision) {
        if (decision instanceof ReadDecision.Replica replica) {
            return "Replica " + replica.databaseId();
        }
        if (decision instanceof ReadDecision.Primary primary) {
            return "Primary " + primary.databaseId();
        }
        if (decision instanceof ReadDecision.WaitForReplica waiting) {
            return "WaitForReplica " + waiting.databaseId();
        }
        assertThat(((ReadDecision.Refuse) decision).type()).isEqualTo(FailureType.NO_REPLICA_IN_TIME);
        return "Refuse";
    }

    private static ReadCandidate replica(String id, Proximity proximity, LogPosition applied, long ageMs, long lagMs) {
        return candidate(id, false, true, proximity, applied, ageMs, lagMs);
    }

    private static ReadCandidate primary(String id, Proximity proximity) {
        return candidate(id, true, true, proximity, MIN_POSITION, 0, 0);
    }

    private static ReadCandidate candidate(
            String id,
            boolean primary,
            boolean usable,
            Proximity proximity,
            LogPosition applied,
            long ageMs,
            long lagMs) {
        Optional<Duration> age = ageMs < 0 ? Optional.empty() : Optional.of(Duration.ofMillis(ageMs));
        return new ReadCandidate(
                id, primary, usable, proximity, applied, age, Optional.of(Duration.ofMillis(lagMs)), 0);
    }
}
