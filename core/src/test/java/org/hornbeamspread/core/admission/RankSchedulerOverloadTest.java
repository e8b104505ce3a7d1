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

/** Floods of ten times the calm load, in virtual time: what each rank keeps. */
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

    /** Slots of Entoto and of Ujaas, seeds, and calm loads below and above the shares of the lower ranks. */
    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of(5, 1L, List.of(0.2, 0.2, 0.15)),
                Arguments.of(2, 2L, List.of(0.2, 0.2, 0.15)),
                Arguments.of(5, 3L, List.of(0.1, 0.4, 0.3)),
                Arguments.of(2, 4L, List.of(0.1, 0.4, 0.3)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTheLowestRankLeavesUrgentGoodputUnchanged(int slots, long seed, List<Double> calm) {
        OverloadSimulation before = run(slots, BY_RANK, calm, seed);
        OverloadSimulation flood = run(slots, BY_RANK, overloaded(calm, 2), seed);
        assertThat(flood.counts("urgent").withinTarget)
                .isAtLeast((int) Math.ceil(0.99 * before.counts("urgent").withinTarget));
        assertThat(flood.goodput("stock")).isAtLeast(0.99 * guaranteedGoodput(before, "stock"));
        assertRefusalsOnlyIn(flood, List.of("ledger"));
        assertThat(flood.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTheHighestRankLeavesOtherRanksTheirShares(int slots, long seed, List<Double> calm) {
        OverloadSimulation before = run(slots, BY_RANK, calm, seed);
        OverloadSimulation flood = run(slots, BY_RANK, overloaded(calm, 0), seed);
        for (String rank : RANKS) {
            assertWithMessage(rank).that(flood.goodput(rank)).isAtLeast(0.99 * guaranteedGoodput(before, rank));
        }
        assertThat(flood.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void overloadOfTwoRanksLeavesEveryRankItsShare(int slots, long seed, List<Double> calm) {
        OverloadSimulation before = run(slots, BY_RANK, calm, seed);
        OverloadSimulation flood = run(slots, BY_RANK, overloaded(calm, 0, 2), seed);
        for (String rank : RANKS) {
            assertWithMessage(rank).that(flood.goodput(rank)).isAtLeast(0.99 * guaranteedGoodput(before, rank));
        }
        assertThat(flood.totalGoodput()).isAtLeast(0.9);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void mostRefusalsHappenOnArrival(int slots, long seed, List<Double> calm) {
        OverloadSimulation flood = run(slots, BY_RANK, overloaded(calm, 0, 2), seed);
        int atOnce = RANKS.stream()
                .mapToInt(rank -> flood.counts(rank).refusedOnArrival)
                .sum();
        int waiting = RANKS.stream()
                .mapToInt(rank -> flood.counts(rank).refusedAfterWaiting)
                .sum();
        assertThat(atOnce).isAtLeast(9 * waiting);
    }

    /** The bounds above tell the schedulers apart: each baseline breaks one. */
    @Test
    void baselineSchedulersViolateTheBounds() {
        List<Double> calm = List.of(0.2, 0.2, 0.15);
        assertThat(run(5, FIFO, overloaded(calm, 2), 1).goodput("urgent"))
                .isLessThan(0.5 * run(5, FIFO, calm, 1).goodput("urgent"));
        assertThat(run(5, STRICT, overloaded(calm, 0), 1).goodput("ledger")).isLessThan(0.01);
        assertThat(run(5, STRICT, overloaded(calm, 0), 1).goodput("stock")).isLessThan(0.01);
    }

    /** Prints the comparison as a Markdown table. */
    public static void main(String[] arguments) {
        List<SchedulerFactory> factories = List.of(FIFO, STRICT, BY_RANK);
        List<String> names = List.of("FifoScheduler", "StrictPriorityScheduler", "RankScheduler");
        List<List<Integer>> floods = List.of(List.of(), List.of(2), List.of(0), List.of(0, 2));
        List<String> floodNames = List.of("calm", "ledger x10", "urgent x10", "both x10");
        for (Arguments one : cases().toList()) {
            int slots = (Integer) one.get()[0];
            long seed = (Long) one.get()[1];
            @SuppressWarnings("unchecked")
            List<Double> calm = (List<Double>) one.get()[2];
            System.out.println("\n" + slots + " slots, seed " + seed + ", calm loads " + calm + "\n");
            System.out.println(
                    "| flood | scheduler | urgent | stock | ledger | total | refused at once | refused late |");
            System.out.println("|---|---|---|---|---|---|---|---|");
            for (int flood = 0; flood < floods.size(); flood++) {
                int[] which =
                        floods.get(flood).stream().mapToInt(Integer::intValue).toArray();
                for (int i = 0; i < factories.size(); i++) {
                    print(
                            floodNames.get(flood),
                            names.get(i),
                            run(slots, factories.get(i), overloaded(calm, which), seed));
                }
            }
        }
    }

    private static void print(String flood, String scheduler, OverloadSimulation result) {
        Counts all = new Counts();
        for (String rank : RANKS) {
            all.refusedOnArrival += result.counts(rank).refusedOnArrival;
            all.refusedAfterWaiting += result.counts(rank).refusedAfterWaiting;
        }
        System.out.println(String.format(
                Locale.ROOT,
                "| %s | %s | %.3f | %.3f | %.3f | %.3f | %d | %d |",
                flood,
                scheduler,
                result.goodput("urgent"),
                result.goodput("stock"),
                result.goodput("ledger"),
                result.totalGoodput(),
                all.refusedOnArrival,
                all.refusedAfterWaiting));
    }

    private static double guaranteedGoodput(OverloadSimulation calm, String rank) {
        double share = SETTINGS.get(RANKS.indexOf(rank)).share();
        return Math.min(share, calm.goodput(rank));
    }

    private static void assertRefusalsOnlyIn(OverloadSimulation flood, List<String> flooding) {
        for (String rank : RANKS) {
            Counts counts = flood.counts(rank);
            assertWithMessage(rank).that(counts.unexpectedRefusals).isEqualTo(0);
            if (!flooding.contains(rank)) {
                int refused = counts.refusedOnArrival + counts.refusedAfterWaiting;
                assertWithMessage(rank).that(refused).isAtMost(counts.offered / 100);
            }
        }
    }

    private static List<Double> overloaded(List<Double> calm, int... ranks) {
        List<Double> loads = new ArrayList<>(calm);
        for (int rank : ranks) {
            loads.set(rank, calm.get(rank) * OVERLOAD_FACTOR);
        }
        return loads;
    }

    private static OverloadSimulation run(int slots, SchedulerFactory factory, List<Double> loads, long seed) {
        List<OfferedLoad> all = new ArrayList<>();
        for (int i = 0; i < loads.size(); i++) {
            all.add(new OfferedLoad(SETTINGS.get(i), TARGETS.get(i), loads.get(i)));
        }
        return OverloadSimulation.run(slots, factory, all, MEASURED_TIME, seed);
    }
}
