package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.hornbeamspread.core.admission.OverloadSimulation.Counts;
import org.hornbeamspread.core.admission.OverloadSimulation.OfferedLoad;
import org.hornbeamspread.core.admission.OverloadSimulation.SchedulerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs ten times the normal load of some ranks in virtual time, and guards against an overload that takes the
 * guaranteed shares of other ranks.
 */
final class RankSchedulerOverloadTest {
    private static final Duration MEASURED_TIME = Duration.ofSeconds(20);
    private static final int QUEUE_LIMIT = 10_000;
    private static final double OVERLOAD_FACTOR = 10;
    private static final List<String> RANKS = List.of("urgent", "stock", "ledger");
    private static final List<RankSettings> SETTINGS = List.of(
            new RankSettings("urgent", 100, 40, QUEUE_LIMIT),
            new RankSettings("stock", 10, 30, QUEUE_LIMIT),
            new RankSettings("ledger", 5, 20, QUEUE_LIMIT));
    private static final List<Duration> TARGETS =
            List.of(Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofSeconds(5));

    private static final SchedulerFactory BY_RANK = RankScheduler::new;
    private static final SchedulerFactory STRICT = (slots, ranks, now) -> new StrictPriorityScheduler(slots, ranks);
    private static final SchedulerFactory FIFO = (slots, ranks, now) -> new FifoScheduler(slots, QUEUE_LIMIT);

    /** Slots of Entoto and of Ujaas, seeds, and normal loads below and above the shares of the lower ranks. */
    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of(5, 1L, List.of(0.2, 0.2, 0.15)),
                Arguments.of(2, 2L, List.of(0.2, 0.2, 0.15)),
                Arguments.of(5, 3L, List.of(0.1, 0.4, 0.3)),
                Arguments.of(2, 4L, List.of(0.1, 0.4, 0.3)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTheLowestRankLeavesUrgentGoodputUnchanged(int slots, long seed, List<Double> normalLoads) {
        OverloadSimulation normal = run(slots, BY_RANK, normalLoads, seed);
        OverloadSimulation overload = run(slots, BY_RANK, overloaded(normalLoads, 2), seed);
        assertThat(overload.counts("urgent").withinTarget)
                .isAtLeast((int) Math.ceil(0.99 * normal.counts("urgent").withinTarget));
        assertThat(overload.goodput("stock")).isAtLeast(0.99 * guaranteedGoodput(normal, "stock"));
        assertRefusalsOnlyIn(overload, List.of("ledger"));
        assertThat(overload.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTheHighestRankLeavesOtherRanksTheirShares(int slots, long seed, List<Double> normalLoads) {
        OverloadSimulation normal = run(slots, BY_RANK, normalLoads, seed);
        OverloadSimulation overload = run(slots, BY_RANK, overloaded(normalLoads, 0), seed);
        for (String rank : RANKS) {
            assertWithMessage(rank).that(overload.goodput(rank)).isAtLeast(0.99 * guaranteedGoodput(normal, rank));
        }
        assertThat(overload.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTwoRanksLeavesEveryRankItsShare(int slots, long seed, List<Double> normalLoads) {
        OverloadSimulation normal = run(slots, BY_RANK, normalLoads, seed);
        OverloadSimulation overload = run(slots, BY_RANK, overloaded(normalLoads, 0, 2), seed);
        for (String rank : RANKS) {
            assertWithMessage(rank).that(overload.goodput(rank)).isAtLeast(0.99 * guaranteedGoodput(normal, rank));
        }
        assertThat(overload.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void mostRefusalsHappenOnArrival(int slots, long seed, List<Double> normalLoads) {
        OverloadSimulation overload = run(slots, BY_RANK, overloaded(normalLoads, 0, 2), seed);
        int onArrival = RANKS.stream()
                .mapToInt(rank -> overload.counts(rank).refusedOnArrival)
                .sum();
        int afterWaiting = RANKS.stream()
                .mapToInt(rank -> overload.counts(rank).refusedAfterWaiting)
                .sum();
        assertThat(onArrival).isAtLeast(9 * afterWaiting);
    }

    /** Shows that the bounds above distinguish the schedulers: each baseline scheduler violates one of them. */
    @Test
    void baselineSchedulersViolateTheBounds() {
        List<Double> normalLoads = List.of(0.2, 0.2, 0.15);
        assertThat(run(5, FIFO, overloaded(normalLoads, 2), 1).goodput("urgent"))
                .isLessThan(0.5 * run(5, FIFO, normalLoads, 1).goodput("urgent"));
        assertThat(run(5, STRICT, overloaded(normalLoads, 0), 1).goodput("ledger"))
                .isLessThan(0.01);
        assertThat(run(5, STRICT, overloaded(normalLoads, 0), 1).goodput("stock"))
                .isLessThan(0.01);
    }

    /** Prints the comparison as a Markdown table. */
    public static void main(String[] arguments) {
        List<SchedulerFactory> factories = List.of(FIFO, STRICT, BY_RANK);
        List<String> names = List.of("FifoScheduler", "StrictPriorityScheduler", "RankScheduler");
        List<List<Integer>> overloads = List.of(List.of(), List.of(2), List.of(0), List.of(0, 2));
        List<String> overloadNames = List.of("normal", "ledger x10", "urgent x10", "both x10");
        for (Arguments testCase : cases().toList()) {
            int slots = (Integer) testCase.get()[0];
            long seed = (Long) testCase.get()[1];
            @SuppressWarnings("unchecked")
            List<Double> normalLoads = (List<Double>) testCase.get()[2];
            System.out.println("\n" + slots + " slots, seed " + seed + ", normal loads " + normalLoads + "\n");
            System.out.println(
                    "| overload | scheduler | urgent | stock | ledger | total | refused on arrival | refused after waiting |");
            System.out.println("|---|---|---|---|---|---|---|---|");
            for (int overload = 0; overload < overloads.size(); overload++) {
                int[] overloadedRanks = overloads.get(overload).stream()
                        .mapToInt(Integer::intValue)
                        .toArray();
                for (int i = 0; i < factories.size(); i++) {
                    print(
                            overloadNames.get(overload),
                            names.get(i),
                            run(slots, factories.get(i), overloaded(normalLoads, overloadedRanks), seed));
                }
            }
        }
    }

    private static void print(String overload, String scheduler, OverloadSimulation result) {
        Counts total = new Counts();
        for (String rank : RANKS) {
            total.refusedOnArrival += result.counts(rank).refusedOnArrival;
            total.refusedAfterWaiting += result.counts(rank).refusedAfterWaiting;
        }
        System.out.println(String.format(
                Locale.ROOT,
                "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d | %d |",
                overload,
                scheduler,
                result.goodput("urgent"),
                result.goodput("stock"),
                result.goodput("ledger"),
                result.totalGoodput(),
                total.refusedOnArrival,
                total.refusedAfterWaiting));
    }

    private static double guaranteedGoodput(OverloadSimulation normal, String rank) {
        double share = SETTINGS.get(RANKS.indexOf(rank)).share();
        return Math.min(share, normal.goodput(rank));
    }

    private static void assertRefusalsOnlyIn(OverloadSimulation overload, List<String> overloadedRanks) {
        for (String rank : RANKS) {
            Counts counts = overload.counts(rank);
            assertWithMessage(rank).that(counts.unexpectedRefusals).isEqualTo(0);
            if (!overloadedRanks.contains(rank)) {
                int refused = counts.refusedOnArrival + counts.refusedAfterWaiting;
                assertWithMessage(rank).that(refused).isAtMost(counts.offered / 100);
            }
        }
    }

    private static List<Double> overloaded(List<Double> normalLoads, int... ranks) {
        List<Double> loads = new ArrayList<>(normalLoads);
        for (int rank : ranks) {
            loads.set(rank, normalLoads.get(rank) * OVERLOAD_FACTOR);
        }
        return loads;
    }

    private static OverloadSimulation run(int slots, SchedulerFactory factory, List<Double> loads, long seed) {
        List<OfferedLoad> offeredLoads = new ArrayList<>();
        for (int i = 0; i < loads.size(); i++) {
            offeredLoads.add(new OfferedLoad(SETTINGS.get(i), TARGETS.get(i), loads.get(i)));
        }
        return OverloadSimulation.run(slots, factory, offeredLoads, MEASURED_TIME, seed);
    }
}
