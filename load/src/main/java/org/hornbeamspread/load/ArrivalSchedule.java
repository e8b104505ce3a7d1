package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * All arrivals of a run, computed from the seed before the run starts: an open loop, in which a slow response delays no
 * later request. Each rank, and the flood, is a separate Poisson process with its own random generator, so that the
 * ordinary arrivals of a seed are the same with and without a flood.
 */
final class ArrivalSchedule {
    private static final double US_PER_SECOND = 1e6;

    private ArrivalSchedule() {}

    /**
     * The arrivals, ordered by time. A flood lasts from one third to two thirds of the run.
     *
     * @param warmUpSeconds the duration of ordinary arrivals before the start, at negative times
     * @param floodRank the index of the rank of the flood; empty for no flood
     */
    static List<Arrival> of(Workload workload, int warmUpSeconds, int seconds, long seed, Optional<Integer> floodRank) {
        long warmUpUs = (long) (warmUpSeconds * US_PER_SECOND);
        long endUs = (long) (seconds * US_PER_SECOND);
        List<Arrival> arrivals = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int rank = 0; rank < workload.ranks().size(); rank++) {
            RankWorkload rankWorkload = workload.ranks().get(rank);
            addPoissonArrivals(
                    arrivals, seeds.split(), rankWorkload.arrivalsPerSecond(), -warmUpUs, endUs, rank, false);
            SplittableRandom floodRandom = seeds.split();
            if (floodRank.isPresent() && floodRank.get() == rank) {
                addPoissonArrivals(
                        arrivals,
                        floodRandom,
                        rankWorkload.floodArrivalsPerSecond(),
                        endUs / 3,
                        endUs * 2 / 3,
                        rank,
                        true);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atUs));
        return arrivals;
    }

    private static void addPoissonArrivals(
            List<Arrival> arrivals,
            SplittableRandom random,
            double perSecond,
            long fromUs,
            long toUs,
            int rank,
            boolean flood) {
        if (perSecond <= 0) {
            return;
        }
        double atUs = fromUs;
        while (true) {
            atUs += -Math.log(1 - random.nextDouble()) / perSecond * US_PER_SECOND;
            if (atUs >= toUs) {
                return;
            }
            arrivals.add(new Arrival((long) atUs, rank, flood));
        }
    }
}
